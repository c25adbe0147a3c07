#pragma once

#include <cstdint>
#include <memory>

#include "absl/types/optional.h"
#include "common/log_limiter.h"
#include "event_loop/event_loop.h"
#include "rpc/internal/client_loop.h"
#include "rpc/internal/rpc_worker.h"

namespace teaseljunction {

/// Drives calls on the thread of an event loop.
class rpc_on_loop : public rpc_worker {
 public:
  rpc_on_loop(event_loop& loop, const rpc_peer_client_settings& settings);
  ~rpc_on_loop() noexcept(false) override;

  void Start(std::unique_ptr<pending_call> call) override;
  void Cancel(uint64_t id) override;

 private:
  event_loop& loop_;
  const rpc_peer_client_settings settings_;
  log_limiter limiter_;
  // Used on the loop's thread only.
  absl::optional<client_loop> client_;
  // Lets tasks of the loop find out that this object has gone.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace teaseljunction
