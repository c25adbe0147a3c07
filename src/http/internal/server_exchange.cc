#include "http/internal/server_exchange.h"

#include <utility>

#include "event_loop/event_loop.h"
#include "http/internal/server_connection.h"
#include "http/problem.h"

namespace teaseljunction {
namespace {

class server_exchange : public http_exchange {
 public:
  server_exchange(std::shared_ptr<exchange_state> state,
                  std::weak_ptr<server_connection> connection, uint64_t number,
                  std::shared_ptr<event_loop> loop, running_memory memory)
      : memory_(std::move(memory)),
        state_(std::move(state)),
        connection_(std::move(connection)),
        number_(number),
        loop_(std::move(loop)) {}

  ~server_exchange() override {
    if (!state_->AwaitsResponse()) return;
    Respond(ProblemResponse({error_kind::kInternal, "no response was produced"}, ""));
  }

  void Respond(http_response response) override {
    if (!state_->AcceptResponse()) return;
    loop_->Run(
        [connection = connection_, number = number_, response = std::move(response)]() mutable {
          if (const auto open = connection.lock()) open->OnAnswer(number, std::move(response));
        });
  }

  void OnDisconnect(absl::AnyInvocable<void()> callback) override {
    state_->OnDisconnect(std::move(callback));
  }

 private:
  const running_memory memory_;
  const std::shared_ptr<exchange_state> state_;
  const std::weak_ptr<server_connection> connection_;
  const uint64_t number_;
  const std::shared_ptr<event_loop> loop_;
};

}  // namespace

bool exchange_state::AcceptResponse() {
  // Destroyed after the lock has been released.
  absl::AnyInvocable<void()> dropped;
  absl::MutexLock lock(&mutex_);
  if (responded_ || disconnected_) return false;
  responded_ = true;
  std::swap(dropped, on_disconnect_);
  return true;
}

bool exchange_state::AwaitsResponse() {
  absl::MutexLock lock(&mutex_);
  return !responded_ && !disconnected_;
}

void exchange_state::OnDisconnect(absl::AnyInvocable<void()> callback) {
  {
    absl::MutexLock lock(&mutex_);
    if (responded_) return;
    if (!disconnected_) {
      std::swap(on_disconnect_, callback);
      return;
    }
  }
  callback();
}

void exchange_state::NotifyDisconnect() {
  absl::AnyInvocable<void()> callback;
  {
    absl::MutexLock lock(&mutex_);
    if (responded_ || disconnected_) return;
    disconnected_ = true;
    std::swap(callback, on_disconnect_);
  }
  if (callback) callback();
}

std::shared_ptr<http_exchange> MakeExchange(std::shared_ptr<exchange_state> state,
                                            std::weak_ptr<server_connection> connection,
                                            uint64_t number, std::shared_ptr<event_loop> loop,
                                            running_memory memory) {
  return std::make_shared<server_exchange>(std::move(state), std::move(connection), number,
                                           std::move(loop), std::move(memory));
}

}  // namespace teaseljunction
