#pragma once

#include <memory>
#include <thread>

#include "common/log_limiter.h"
#include "event_loop/loop_queue.h"
#include "rpc/internal/server_connections.h"
#include "rpc/internal/server_loop.h"

namespace teaseljunction {

/// Serves on an own thread with its own KJ event loop.
class server_thread : public server_loop {
 public:
  /// Takes over `listen_fd`.
  server_thread(const rpc_server_settings& settings, node_service& service, int listen_fd,
                server_activity& activity, log_limiter& limiter);
  ~server_thread() noexcept(false) override;

  int listen_fd() const override { return listen_fd_; }
  void StopAccepting() override;

 private:
  using task_queue = loop_queue<absl::AnyInvocable<void()>>;
  class queue_sink;
  struct state;

  void Run();
  void Post(absl::AnyInvocable<void()> task);

  const rpc_server_settings& settings_;
  node_service& service_;
  const int listen_fd_;
  server_activity& activity_;
  log_limiter& limiter_;
  const std::shared_ptr<task_queue> queue_ = std::make_shared<task_queue>();
  // Set by the thread, and used in tasks on it only.
  server_connections* connections_ = nullptr;
  kj::PromiseFulfillerPair<void>* stop_ = nullptr;
  std::thread thread_;
};

}  // namespace teaseljunction
