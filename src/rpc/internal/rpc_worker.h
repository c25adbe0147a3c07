#pragma once

#include <cstdint>
#include <memory>
#include <thread>

#include "common/log_limiter.h"
#include "rpc/internal/loop_queue.h"
#include "rpc/internal/pending_call.h"
#include "rpc/rpc_peer_client.h"

namespace teaseljunction {

/// One thread of the client with its event loop.
class rpc_worker {
 public:
  explicit rpc_worker(const rpc_peer_client_settings& settings);
  ~rpc_worker();

  void Start(std::unique_ptr<pending_call> call);
  void Cancel(uint64_t id);

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
