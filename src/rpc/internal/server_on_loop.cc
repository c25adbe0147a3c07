#include "rpc/internal/server_on_loop.h"

#include <utility>

namespace teaseljunction {

/// Runs completions on the loop's thread until it is closed there.
class server_on_loop::loop_sink : public completion_sink,
                                  public std::enable_shared_from_this<loop_sink> {
 public:
  explicit loop_sink(event_loop& loop) : loop_(loop) {}

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

server_on_loop::server_on_loop(event_loop& loop, const rpc_server_settings& settings,
                               node_service& service, int listen_fd, server_activity& activity,
                               log_limiter& limiter)
    : loop_(loop),
      listen_fd_(listen_fd),
      sink_(std::make_shared<loop_sink>(loop)),
      waiting_(std::make_unique<waiting_calls>(sink_, activity)) {
  loop_.RunAndWait(
      [&] { connections_.emplace(loop_.Io(), settings, service, listen_fd, *waiting_, limiter); });
}

server_on_loop::~server_on_loop() noexcept(false) {
  // The RPC system drops the calls of closed connections in events of their own, which come before
  // the second task.
  loop_.RunAndWait([this] { connections_->CloseAll(); });
  loop_.RunAndWait([this] {
    connections_.reset();
    sink_->Close();
  });
}

void server_on_loop::StopAccepting() {
  loop_.RunAndWait([this] { connections_->StopAccepting(); });
}

}  // namespace teaseljunction
