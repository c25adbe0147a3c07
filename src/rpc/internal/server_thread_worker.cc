#include "rpc/internal/server_thread_worker.h"

#include <utility>

#include "absl/synchronization/notification.h"
#include "event_loop/kj_log_callback.h"
#include "rpc/internal/kj_support.h"

namespace teaseljunction {

/// Posts completions to the queue of the thread, which discards them once the thread has ended.
class server_thread_worker::queue_executor : public completion_executor {
 public:
  explicit queue_executor(std::shared_ptr<task_queue> queue) : queue_(std::move(queue)) {}

  void Post(absl::AnyInvocable<void()> task) override { queue_->Post(task); }

 private:
  const std::shared_ptr<task_queue> queue_;
};

server_thread_worker::server_thread_worker(const rpc_server_settings& settings,
                                           node_service& service, int listen_fd,
                                           server_call_counts& call_counts, log_limiter& limiter)
    : settings_(settings),
      service_(service),
      listen_fd_(listen_fd),
      call_counts_(call_counts),
      limiter_(limiter) {
  thread_ = std::thread(&server_thread_worker::Run, this);
}

server_thread_worker::~server_thread_worker() noexcept(false) {
  Post([this] { stop_->fulfiller->fulfill(); });
  thread_.join();
}

void server_thread_worker::Run() {
  kj_log_callback log(limiter_);
  // Declared before the event loop, because the loop may hold promises of calls until it is
  // destroyed.
  incoming_calls calls(std::make_shared<queue_executor>(queue_), call_counts_);
  kj::AsyncIoContext io = kj::setupAsyncIo();
  auto stop = kj::newPromiseAndFulfiller<void>();
  server_connections connections(io, settings_, service_, listen_fd_, calls, limiter_);
  stop_ = &stop;
  connections_ = &connections;
  const auto log_failure = [this](const kj::Exception& failure) {
    LogRpcWarning(limiter_, failure.getDescription().cStr());
  };
  kj::Promise<void> tasks =
      queue_
          ->Run(
              io.unixEventPort, [](absl::AnyInvocable<void()> task) { task(); }, log_failure)
          .eagerlyEvaluate(nullptr);
  stop.promise.wait(io.waitScope);
  connections.CloseAll();
  // The RPC system cancels the calls of closed connections in separate events; runs these now.
  io.waitScope.poll();
  queue_->Close();
}

void server_thread_worker::Post(absl::AnyInvocable<void()> task) { queue_->Post(task); }

void server_thread_worker::StopAccepting() {
  Post([this] { connections_->StopAccepting(); });
}

size_t server_thread_worker::QueuedBytes() {
  size_t bytes = 0;
  absl::Notification done;
  Post([&] {
    bytes = connections_->QueuedBytes();
    done.Notify();
  });
  done.WaitForNotification();
  return bytes;
}

}  // namespace teaseljunction
