#include "rpc/internal/server_loop_worker.h"

#include <utility>

namespace teaseljunction {

/// Runs completions on the loop's thread and discards them once it has been closed. `Close` must be
/// called on the loop's thread.
class server_loop_worker::loop_executor : public completion_executor,
                                          public std::enable_shared_from_this<loop_executor> {
 public:
  explicit loop_executor(event_loop& loop) : loop_(loop) {}

  void Post(absl::AnyInvocable<void()> task) override {
    loop_.Run([self = shared_from_this(), task = std::move(task)]() mutable {
      if (!self->closed_) task();
    });
  }

  void Close() { closed_ = true; }

 private:
  event_loop& loop_;
  bool closed_ = false;
};

server_loop_worker::server_loop_worker(event_loop& loop, const rpc_server_settings& settings,
                                       node_service& service, int listen_fd,
                                       server_call_counts& call_counts, log_limiter& limiter)
    : loop_(loop),
      listen_fd_(listen_fd),
      executor_(std::make_shared<loop_executor>(loop)),
      incoming_calls_(std::make_unique<incoming_calls>(executor_, call_counts)) {
  loop_.RunAndWait([&] {
    connections_.emplace(loop_.IoContext(), settings, service, listen_fd, *incoming_calls_,
                         limiter);
  });
}

server_loop_worker::~server_loop_worker() noexcept(false) {
  // The RPC system cancels the calls of closed connections in separate events, which run before the
  // second task.
  loop_.RunAndWait([this] { connections_->CloseAll(); });
  loop_.RunAndWait([this] {
    connections_.reset();
    executor_->Close();
  });
}

void server_loop_worker::StopAccepting() {
  loop_.RunAndWait([this] { connections_->StopAccepting(); });
}

size_t server_loop_worker::QueuedBytes() {
  size_t bytes = 0;
  loop_.RunAndWait([&] { bytes = connections_->QueuedBytes(); });
  return bytes;
}

}  // namespace teaseljunction
