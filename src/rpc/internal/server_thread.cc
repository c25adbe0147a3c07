#include "rpc/internal/server_thread.h"

#include <utility>

#include "event_loop/kj_log.h"

namespace teaseljunction {

/// Passes completions to the queue of the thread, which takes none after its end.
class server_thread::queue_sink : public completion_sink {
 public:
  explicit queue_sink(std::shared_ptr<task_queue> queue) : queue_(std::move(queue)) {}

  void Post(absl::AnyInvocable<void()> task) override { queue_->Post(task); }

 private:
  const std::shared_ptr<task_queue> queue_;
};

server_thread::server_thread(const rpc_server_settings& settings, node_service& service,
                             int listen_fd, server_activity& activity, log_limiter& limiter)
    : settings_(settings),
      service_(service),
      listen_fd_(listen_fd),
      activity_(activity),
      limiter_(limiter) {
  thread_ = std::thread(&server_thread::Run, this);
}

server_thread::~server_thread() noexcept(false) {
  Post([this] { stop_->fulfiller->fulfill(); });
  thread_.join();
}

void server_thread::Run() {
  kj_log log(limiter_);
  // Outlives the event loop, which may hold promises of calls until its end.
  waiting_calls waiting(std::make_shared<queue_sink>(queue_), activity_);
  kj::AsyncIoContext io = kj::setupAsyncIo();
  auto stop = kj::newPromiseAndFulfiller<void>();
  server_connections connections(io, settings_, service_, listen_fd_, waiting, limiter_);
  stop_ = &stop;
  connections_ = &connections;
  kj::Promise<void> tasks =
      queue_->Run(io.unixEventPort, [](absl::AnyInvocable<void()> task) { task(); })
          .eagerlyEvaluate(nullptr);
  stop.promise.wait(io.waitScope);
  connections.CloseAll();
  // The RPC system drops the calls of a closed connection in events of their own.
  io.waitScope.poll();
  queue_->Close();
}

void server_thread::Post(absl::AnyInvocable<void()> task) { queue_->Post(task); }

void server_thread::StopAccepting() {
  Post([this] { connections_->StopAccepting(); });
}

}  // namespace teaseljunction
