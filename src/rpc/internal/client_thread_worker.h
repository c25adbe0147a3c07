#pragma once

#include <cstdint>
#include <memory>
#include <thread>

#include "common/log_limiter.h"
#include "event_loop/loop_queue.h"
#include "rpc/internal/client_worker.h"
#include "rpc/internal/pending_call.h"
#include "rpc/rpc_peer_client.h"

namespace teaseljunction {

/// Runs calls on a thread of its own with a KJ event loop.
class client_thread_worker : public client_worker {
 public:
  explicit client_thread_worker(const rpc_peer_client_settings& settings);
  ~client_thread_worker() noexcept(false) override;

  void Start(std::unique_ptr<pending_call> call) override;
  void Cancel(uint64_t id) override;

 private:
  /// A queued request: a call to start, the id of a call to cancel, or the end of the thread.
  struct queued_request {
    std::unique_ptr<pending_call> call;
    uint64_t cancelled_id = 0;
    bool stop = false;
  };

  void Run();

  const rpc_peer_client_settings settings_;
  log_limiter limiter_;
  loop_queue<queued_request> queue_;
  std::thread thread_;
};

}  // namespace teaseljunction
