#include "http/internal/curl_loop_worker.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "common/clock_source.h"

namespace teaseljunction {
namespace {

constexpr int kEventsPerWait = 64;
/// Time after which socket events and time-outs are left to the next turn of the loop.
constexpr absl::Duration kMaxTurnTime = absl::Milliseconds(1);

}  // namespace

curl_loop_worker::curl_loop_worker(event_loop& loop, const curl_client_settings& settings)
    : loop_(loop), epoll_fd_(epoll_create1(EPOLL_CLOEXEC)) {
  loop_.RunAndWait([&] {
    transfers_.emplace(settings);
    CURLM* multi = transfers_->multi();
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &curl_loop_worker::OnSocket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &curl_loop_worker::OnTimer);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    watch_ = loop_.WatchInput(epoll_fd_, [this] { HandleSockets(); });
  });
}

curl_loop_worker::~curl_loop_worker() {
  loop_.RunAndWait([this] {
    *alive_ = false;
    transfers_->CancelAll();
    if (timer_id_ != 0) loop_.Cancel(timer_id_);
    watch_.reset();
    transfers_.reset();
  });
  close(epoll_fd_);
}

void curl_loop_worker::Send(std::unique_ptr<curl_transfer> transfer) {
  loop_.Run([this, alive = alive_, transfer = std::move(transfer)]() mutable {
    if (!*alive) return transfer->Fail(error_kind::kCancelled, "");
    transfers_->Start(std::move(transfer));
  });
}

void curl_loop_worker::Cancel(uint64_t id) {
  loop_.Run([this, alive = alive_, id] {
    if (*alive) transfers_->Cancel(id);
  });
}

int curl_loop_worker::OnSocket(CURL*, curl_socket_t socket, int poll_events, void* self,
                               void* registered) {
  static_cast<curl_loop_worker*>(self)->WatchSocket(socket, poll_events, registered != nullptr);
  return 0;
}

void curl_loop_worker::WatchSocket(curl_socket_t socket, int poll_events, bool registered) {
  if (poll_events == CURL_POLL_REMOVE) {
    epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, socket, nullptr);
    return;
  }
  epoll_event event = {};
  if ((poll_events & CURL_POLL_IN) != 0) event.events |= EPOLLIN;
  if ((poll_events & CURL_POLL_OUT) != 0) event.events |= EPOLLOUT;
  event.data.fd = socket;
  epoll_ctl(epoll_fd_, registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
  // libcurl passes a non-null pointer back for this socket until it removes the socket, which marks
  // it as registered.
  if (!registered) curl_multi_assign(transfers_->multi(), socket, this);
}

int curl_loop_worker::OnTimer(CURLM*, long timeout_ms, void* self) {
  static_cast<curl_loop_worker*>(self)->SetTimer(timeout_ms);
  return 0;
}

void curl_loop_worker::SetTimer(long timeout_ms) {
  if (timeout_ms == 0) {
    timeout_due_ = true;
    if (!handling_timeout_) StartTimeoutTurn();
    ScheduleTimeout();
    return;
  }
  timeout_at_ = timeout_ms < 0 ? absl::InfiniteFuture()
                               : system_clock_source().Now() + absl::Milliseconds(timeout_ms);
  // A timer that expires too early is started again for the rest of the time.
  if (timeout_ms < 0 || (timer_id_ != 0 && timer_at_ <= timeout_at_)) return;
  if (timer_id_ != 0) loop_.Cancel(timer_id_);
  StartTimer();
}

void curl_loop_worker::StartTimer() {
  timer_at_ = timeout_at_;
  timer_id_ = loop_.RunAt(timer_at_, [this, alive = alive_] {
    if (*alive) HandleTimeout();
  });
}

void curl_loop_worker::HandleTimeout() {
  timer_id_ = 0;
  const absl::Time now = system_clock_source().Now();
  if (now < timeout_at_) {
    if (timeout_at_ == absl::InfiniteFuture()) return;
    // The time-out was moved to a later time after the timer was started.
    return StartTimer();
  }
  timeout_at_ = absl::InfiniteFuture();
  timeout_due_ = true;
  StartTimeoutTurn();
  ScheduleTimeout();
}

void curl_loop_worker::HandleSockets() {
  std::array<epoll_event, kEventsPerWait> events;
  const absl::Time turn_end = system_clock_source().Now() + kMaxTurnTime;
  do {
    const int count = epoll_wait(epoll_fd_, events.data(), kEventsPerWait, 0);
    if (count <= 0) return;
    for (int i = 0; i < count; ++i) {
      const uint32_t ready = events[i].events;
      int bits = 0;
      if ((ready & EPOLLIN) != 0) bits |= CURL_CSELECT_IN;
      if ((ready & EPOLLOUT) != 0) bits |= CURL_CSELECT_OUT;
      if ((ready & (EPOLLERR | EPOLLHUP)) != 0) bits |= CURL_CSELECT_IN | CURL_CSELECT_ERR;
      int running = 0;
      curl_multi_socket_action(transfers_->multi(), events[i].data.fd, bits, &running);
      transfers_->FinishCompleted();
    }
  } while (system_clock_source().Now() < turn_end);
  if (std::exchange(sockets_posted_, true)) return;
  loop_.Post([this, alive = alive_] {
    if (!*alive) return;
    sockets_posted_ = false;
    HandleSockets();
  });
}

void curl_loop_worker::StartTimeoutTurn() {
  timeout_turn_end_ = system_clock_source().Now() + kMaxTurnTime;
}

void curl_loop_worker::ScheduleTimeout() {
  if (std::exchange(timeout_scheduled_, true)) return;
  if (system_clock_source().Now() < timeout_turn_end_) {
    loop_.RunAtTurnEnd([this, alive = alive_] {
      if (*alive) HandleDueTimeout();
    });
    return;
  }
  // libcurl reads a fast stream in time-outs of zero. The loop receives no other events as long as
  // each end of a turn schedules the next one.
  loop_.Post([this, alive = alive_] {
    if (!*alive) return;
    StartTimeoutTurn();
    HandleDueTimeout();
  });
}

void curl_loop_worker::HandleDueTimeout() {
  timeout_scheduled_ = false;
  if (!std::exchange(timeout_due_, false)) return;
  handling_timeout_ = true;
  int running = 0;
  curl_multi_socket_action(transfers_->multi(), CURL_SOCKET_TIMEOUT, 0, &running);
  handling_timeout_ = false;
  transfers_->FinishCompleted();
}

}  // namespace teaseljunction
