#pragma once

#include <memory>

#include "absl/types/optional.h"
#include "common/log_limiter.h"
#include "event_loop/event_loop.h"
#include "rpc/internal/server_connections.h"
#include "rpc/internal/server_loop.h"

namespace teaseljunction {

/// Serves on the thread of an event loop.
class server_on_loop : public server_loop {
 public:
  /// Takes over `listen_fd`.
  server_on_loop(event_loop& loop, const rpc_server_settings& settings, node_service& service,
                 int listen_fd, server_activity& activity, log_limiter& limiter);
  ~server_on_loop() noexcept(false) override;

  int listen_fd() const override { return listen_fd_; }
  void StopAccepting() override;

 private:
  class loop_sink;

  event_loop& loop_;
  const int listen_fd_;
  const std::shared_ptr<loop_sink> sink_;
  const std::unique_ptr<waiting_calls> waiting_;
  absl::optional<server_connections> connections_;
};

}  // namespace teaseljunction
