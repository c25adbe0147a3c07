#include "event_loop/event_loop.h"

#include <algorithm>

#include "absl/synchronization/notification.h"
#include "absl/types/optional.h"
#include "common/log.h"
#include "event_loop/kj_log.h"

namespace teaseljunction {
namespace {

constexpr kj::Duration kLongestWait = 3600 * kj::SECONDS;

kj::Duration ToKjDelay(absl::Duration delay) {
  if (delay <= absl::ZeroDuration()) return 0 * kj::NANOSECONDS;
  if (delay >= absl::Hours(1)) return kLongestWait;
  return absl::ToInt64Nanoseconds(delay) * kj::NANOSECONDS;
}

}  // namespace

/// What exists only while the thread runs.
class event_loop::thread_state : private kj::TaskSet::ErrorHandler {
 public:
  thread_state(event_loop& owner, kj::AsyncIoContext& io)
      : stop(kj::newPromiseAndFulfiller<void>()), owner_(owner), io_(io), tasks(*this) {}

  // Waits until `when` unless the loop waits for an earlier time already.
  void WakeAt(absl::Time when, absl::Time now) {
    if (when >= wake_at_) return;
    wake_at_ = when;
    wake_ = io_.provider->getTimer().afterDelay(ToKjDelay(when - now)).then([this] {
      // The timer runs as an event of its own, because a promise cannot destroy itself.
      tasks.add(kj::evalLater([this] {
        wake_at_ = absl::InfiniteFuture();
        owner_.RunDueTimers();
      }));
    });
    wake_ = wake_.eagerlyEvaluate([this](kj::Exception&& failure) { Report(failure); });
  }

  void Report(const kj::Exception& failure) {
    const auto left_out = owner_.limiter_.Allow();
    if (left_out) LOG(ERROR) << "event loop: " << failure.getDescription().cStr();
  }

  kj::PromiseFulfillerPair<void> stop;
  std::vector<absl::AnyInvocable<void()>> turn_end;
  bool turn_end_due = false;

 private:
  void taskFailed(kj::Exception&& failure) override {  // NOLINT(readability-identifier-naming)
    Report(failure);
  }

  event_loop& owner_;
  kj::AsyncIoContext& io_;
  absl::Time wake_at_ = absl::InfiniteFuture();
  kj::Promise<void> wake_ = nullptr;

 public:
  kj::TaskSet tasks;
};

/// Watch on KJ's event port, which reports only changes.
class event_loop::descriptor_watch : public input_watch {
 public:
  descriptor_watch(event_loop& owner, int fd, absl::AnyInvocable<void()> on_input)
      : on_input_(std::move(on_input)),
        observer_(owner.io_->unixEventPort, fd, kj::UnixEventPort::FdObserver::OBSERVE_READ),
        watching_(Next().eagerlyEvaluate(
            [&owner](kj::Exception&& failure) { owner.state_->Report(failure); })) {}

 private:
  kj::Promise<void> Next() {
    return observer_.whenBecomesReadable().then([this] {
      // The observer is armed before the input is read, so that none is missed.
      kj::Promise<void> next = Next();
      on_input_();
      return next;
    });
  }

  absl::AnyInvocable<void()> on_input_;
  kj::UnixEventPort::FdObserver observer_;
  kj::Promise<void> watching_;
};

event_loop::event_loop(const clock_source& clock) : clock_(clock) {
  absl::Notification ready;
  thread_ = std::thread([this, &ready] {
    kj_log log(limiter_);
    kj::AsyncIoContext io = kj::setupAsyncIo();
    thread_state state(*this, io);
    io_ = &io;
    state_ = &state;
    ready.Notify();
    Serve();
  });
  ready.WaitForNotification();
}

event_loop::~event_loop() { Stop(); }

void event_loop::Serve() {
  kj::Promise<void> tasks =
      posted_.Run(io_->unixEventPort, [](absl::AnyInvocable<void()> task) { task(); })
          .eagerlyEvaluate([this](kj::Exception&& failure) { state_->Report(failure); });
  state_->stop.promise.wait(io_->waitScope);
  posted_.Close();
  state_->turn_end.clear();
}

void event_loop::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopped_ = true;
  }
  if (!thread_.joinable()) return;
  Post([this] { state_->stop.fulfiller->fulfill(); });
  thread_.join();
  absl::MutexLock lock(&mutex_);
  timers_.clear();
  times_.clear();
}

bool event_loop::OnLoopThread() const { return std::this_thread::get_id() == thread_.get_id(); }

void event_loop::Post(absl::AnyInvocable<void()> task) { posted_.Post(task); }

void event_loop::Run(absl::AnyInvocable<void()> task) {
  if (OnLoopThread()) return task();
  Post(std::move(task));
}

void event_loop::RunAndWait(absl::AnyInvocable<void()> task) {
  if (OnLoopThread()) return task();
  absl::Notification done;
  Post([&] {
    task();
    done.Notify();
  });
  done.WaitForNotification();
}

uint64_t event_loop::RunAt(absl::Time when, absl::AnyInvocable<void()> task) {
  uint64_t id = 0;
  bool earliest = false;
  {
    absl::MutexLock lock(&mutex_);
    if (stopped_) return 0;
    id = ++next_id_;
    const auto added = timers_.emplace(timer_key(when, id), std::move(task)).first;
    times_[id] = when;
    earliest = added == timers_.begin();
  }
  if (earliest) Run([this] { ArmTimer(); });
  return id;
}

void event_loop::Cancel(uint64_t id) {
  // Destroyed after the lock is released, since that may call back here.
  absl::AnyInvocable<void()> dropped;
  absl::MutexLock lock(&mutex_);
  const auto found = times_.find(id);
  if (found == times_.end()) return;
  const auto timer = timers_.find(timer_key(found->second, id));
  dropped = std::move(timer->second);
  timers_.erase(timer);
  times_.erase(found);
}

void event_loop::ArmTimer() {
  absl::Time when = absl::InfiniteFuture();
  {
    absl::MutexLock lock(&mutex_);
    if (!timers_.empty()) when = timers_.begin()->first.first;
  }
  if (when < absl::InfiniteFuture()) state_->WakeAt(when, clock_.Now());
}

void event_loop::RunDueTimers() {
  const absl::Time now = clock_.Now();
  while (true) {
    absl::AnyInvocable<void()> due;
    {
      absl::MutexLock lock(&mutex_);
      if (timers_.empty() || timers_.begin()->first.first > now) break;
      due = std::move(timers_.begin()->second);
      times_.erase(timers_.begin()->first.second);
      timers_.erase(timers_.begin());
    }
    due();
  }
  ArmTimer();
}

void event_loop::AtTurnEnd(absl::AnyInvocable<void()> task) {
  state_->turn_end.push_back(std::move(task));
  if (state_->turn_end_due) return;
  state_->turn_end_due = true;
  state_->tasks.add(kj::evalLast([this] { RunTurnEnd(); }));
}

void event_loop::RunTurnEnd() {
  state_->turn_end_due = false;
  std::vector<absl::AnyInvocable<void()>> due = std::exchange(state_->turn_end, {});
  for (absl::AnyInvocable<void()>& task : due) task();
}

std::unique_ptr<input_watch> event_loop::Watch(int fd, absl::AnyInvocable<void()> on_input) {
  return std::make_unique<descriptor_watch>(*this, fd, std::move(on_input));
}

}  // namespace teaseljunction
