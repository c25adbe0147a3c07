#pragma once

#include <memory>

#include "absl/types/optional.h"
#include "common/log_limiter.h"
#include "event_loop/event_loop.h"
#include "rpc/internal/server_connections.h"
#include "rpc/internal/server_worker.h"

namespace teaseljunction {

/// Serves on the thread of an event loop.
class server_loop_worker : public server_worker {
 public:
  /// Takes ownership of `listen_fd`. The references must outlive the worker.
  server_loop_worker(event_loop& loop, const rpc_server_settings& settings, node_service& service,
                     int listen_fd, server_call_counts& call_counts, log_limiter& limiter);
  ~server_loop_worker() noexcept(false) override;

  int listen_fd() const override { return listen_fd_; }
  void StopAccepting() override;
  size_t QueuedBytes() override;

 private:
  class loop_executor;

  event_loop& loop_;
  const int listen_fd_;
  const std::shared_ptr<loop_executor> executor_;
  const std::unique_ptr<incoming_calls> incoming_calls_;
  absl::optional<server_connections> connections_;
};

}  // namespace teaseljunction
