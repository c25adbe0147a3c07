#pragma once

#include <cstdint>
#include <memory>
#include <thread>

#include "common/log_limiter.h"
#include "event_loop/loop_queue.h"
#include "rpc/internal/pending_call.h"
#include "rpc/internal/rpc_worker.h"
#include "rpc/rpc_peer_client.h"

namespace teaseljunction {

/// Drives calls on an own thread with its own KJ event loop.
class rpc_thread : public rpc_worker {
 public:
  explicit rpc_thread(const rpc_peer_client_settings& settings);
  ~rpc_thread() noexcept(false) override;

  void Start(std::unique_ptr<pending_call> call) override;
  void Cancel(uint64_t id) override;

 private:
  /// A call to start, the id of one to cancel, or the end of the thread.
  struct posted {
    std::unique_ptr<pending_call> call;
    uint64_t cancelled_id = 0;
    bool stop = false;
  };

  void Run();

  const rpc_peer_client_settings settings_;
  log_limiter limiter_;
  loop_queue<posted> queue_;
  std::thread thread_;
};

}  // namespace teaseljunction
