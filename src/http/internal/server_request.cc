#include "http/internal/server_request.h"

#include <atomic>
#include <utility>

#include "event_loop/event_loop.h"
#include "http/problem.h"

namespace teaseljunction {
namespace {

int SocketOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

class request_exchange : public http_exchange {
 public:
  request_exchange(std::shared_ptr<server_request> request, event_loop* loop)
      : request_(std::move(request)), loop_(loop) {}

  ~request_exchange() override {
    if (responded_ || !request_->AwaitsResponse()) return;
    Respond(ProblemResponse({error_kind::kInternal, "no response was produced"}, ""));
  }

  void Respond(http_response response) override {
    responded_ = true;
    if (loop_ == nullptr) return request_->Respond(std::move(response));
    loop_->Run([request = request_, response = std::move(response)]() mutable {
      request->Respond(std::move(response));
    });
  }

  void OnDisconnect(absl::AnyInvocable<void()> callback) override {
    request_->OnDisconnect(std::move(callback));
  }

 private:
  const std::shared_ptr<server_request> request_;
  event_loop* const loop_;
  /// True once there is a response, which may still be on its way to the loop's thread.
  std::atomic<bool> responded_ = false;
};

}  // namespace

server_request::server_request(uint64_t id, MHD_Connection* connection,
                               std::shared_ptr<disconnect_watcher> watcher,
                               resume_listener& listener)
    : id_(id),
      connection_(connection),
      fd_(SocketOf(connection)),
      watcher_(std::move(watcher)),
      listener_(listener) {}

bool server_request::AppendBody(absl::string_view data, size_t limit) {
  if (!refusal && data.size() > limit - message.body.size()) {
    refusal = error{error_kind::kBodyTooLarge, ""};
    message.body = std::string();
  }
  if (refusal) {
    discarded_bytes_ += data.size();
    return discarded_bytes_ <= kMaxDiscardedBodyBytes;
  }
  message.body.append(data.data(), data.size());
  return true;
}

bool server_request::Dispatch(http_handler* handler, event_loop* loop) {
  {
    absl::MutexLock lock(&mutex_);
    phase_ = phase::kHandling;
  }
  dispatched = true;
  handler->Handle(std::move(message), MakeExchange(shared_from_this(), loop));
  absl::MutexLock lock(&mutex_);
  if (responded_) return true;
  phase_ = phase::kSuspended;
  // `Respond` resumes the connection under the same lock, so it cannot do so before this call.
  MHD_suspend_connection(connection_);
  if (on_disconnect_) Watch();
  return false;
}

absl::optional<http_response> server_request::TakeResponse() {
  absl::MutexLock lock(&mutex_);
  if (disconnected_) return absl::nullopt;
  return std::exchange(response_, absl::nullopt);
}

void server_request::Respond(http_response response) {
  absl::AnyInvocable<void()> dropped;
  absl::MutexLock lock(&mutex_);
  if (responded_ || disconnected_ || phase_ == phase::kEnded) return;
  responded_ = true;
  response_ = std::move(response);
  dropped = std::move(on_disconnect_);
  on_disconnect_ = nullptr;
  if (phase_ == phase::kSuspended) Resume();
}

bool server_request::AwaitsResponse() {
  absl::MutexLock lock(&mutex_);
  return !responded_ && !disconnected_ && phase_ != phase::kEnded;
}

void server_request::OnDisconnect(absl::AnyInvocable<void()> callback) {
  {
    absl::MutexLock lock(&mutex_);
    if (responded_) return;
    if (!disconnected_ && phase_ != phase::kEnded) {
      // A previous callback is destroyed after the lock has been released.
      std::swap(on_disconnect_, callback);
      if (phase_ == phase::kSuspended) Watch();
      return;
    }
  }
  callback();
}

void server_request::OnClientDisconnected() {
  absl::AnyInvocable<void()> callback;
  {
    absl::MutexLock lock(&mutex_);
    if (phase_ != phase::kSuspended) return;
    disconnected_ = true;
    callback = std::move(on_disconnect_);
    on_disconnect_ = nullptr;
    Resume();
  }
  if (callback) callback();
}

void server_request::OnCompleted() {
  absl::AnyInvocable<void()> dropped;
  absl::MutexLock lock(&mutex_);
  phase_ = phase::kEnded;
  dropped = std::move(on_disconnect_);
  on_disconnect_ = nullptr;
}

void server_request::Watch() {
  if (watched_) return;
  watched_ = true;
  watcher_->Watch(id_, fd_, weak_from_this());
}

void server_request::Resume() {
  phase_ = phase::kResumed;
  // The descriptor is certain to be open only until the connection is resumed.
  if (watched_) watcher_->Unwatch(id_, fd_);
  MHD_resume_connection(connection_);
  listener_.OnResumed();
}

std::shared_ptr<http_exchange> MakeExchange(std::shared_ptr<server_request> request,
                                            event_loop* loop) {
  return std::make_shared<request_exchange>(std::move(request), loop);
}

}  // namespace teaseljunction
