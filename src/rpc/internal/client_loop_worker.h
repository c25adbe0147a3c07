#pragma once

#include <cstdint>
#include <memory>

#include "absl/types/optional.h"
#include "common/log_limiter.h"
#include "event_loop/event_loop.h"
#include "rpc/internal/client_connections.h"
#include "rpc/internal/client_worker.h"

namespace teaseljunction {

/// Runs calls on the thread of an event loop.
class client_loop_worker : public client_worker {
 public:
  /// `loop` must outlive the worker.
  client_loop_worker(event_loop& loop, const rpc_peer_client_settings& settings);
  ~client_loop_worker() noexcept(false) override;

  void Start(std::unique_ptr<pending_call> call) override;
  void Cancel(uint64_t id) override;

 private:
  event_loop& loop_;
  const rpc_peer_client_settings settings_;
  log_limiter limiter_;
  // Only used on the loop's thread.
  absl::optional<client_connections> connections_;
  // Tells tasks that are still queued on the loop that this object has been destroyed.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace teaseljunction
