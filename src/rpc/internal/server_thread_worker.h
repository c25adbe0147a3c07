#pragma once

#include <memory>
#include <thread>

#include "common/log_limiter.h"
#include "event_loop/loop_queue.h"
#include "rpc/internal/server_connections.h"
#include "rpc/internal/server_worker.h"

namespace teaseljunction {

/// Serves on a thread of its own with a KJ event loop.
class server_thread_worker : public server_worker {
 public:
  /// Takes ownership of `listen_fd`. The references must outlive the worker.
  server_thread_worker(const rpc_server_settings& settings, node_service& service, int listen_fd,
                       server_call_counts& call_counts, log_limiter& limiter);
  ~server_thread_worker() noexcept(false) override;

  int listen_fd() const override { return listen_fd_; }
  void StopAccepting() override;
  size_t QueuedBytes() override;

 private:
  using task_queue = loop_queue<absl::AnyInvocable<void()>>;
  class queue_executor;
  struct state;

  void Run();
  void Post(absl::AnyInvocable<void()> task);

  const rpc_server_settings& settings_;
  node_service& service_;
  const int listen_fd_;
  server_call_counts& call_counts_;
  log_limiter& limiter_;
  const std::shared_ptr<task_queue> queue_ = std::make_shared<task_queue>();
  // Set by the thread and only used in tasks that run on it.
  server_connections* connections_ = nullptr;
  kj::PromiseFulfillerPair<void>* stop_ = nullptr;
  std::thread thread_;
};

}  // namespace teaseljunction
