#include "event_loop/event_loop.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/types/optional.h"
#include "common/log.h"
#include "event_loop/kj_log_callback.h"

namespace teaseljunction {
namespace {

constexpr kj::Duration kMaxTimerDelay = 3600 * kj::SECONDS;

kj::Duration ToKjDelay(absl::Duration delay) {
  if (delay <= absl::ZeroDuration()) return 0 * kj::NANOSECONDS;
  if (delay >= absl::Hours(1)) return kMaxTimerDelay;
  return absl::ToInt64Nanoseconds(delay) * kj::NANOSECONDS;
}

}  // namespace

/// State of the loop that exists only while its thread runs.
class event_loop::loop_state : private kj::TaskSet::ErrorHandler {
 public:
  loop_state(event_loop& owner, kj::AsyncIoContext& io)
      : stop_request(kj::newPromiseAndFulfiller<void>()), owner_(owner), io_(io), tasks(*this) {}

  // Arms the timer for `when`, unless it is already armed for an earlier time.
  void WakeAt(absl::Time when, absl::Time now) {
    if (when >= wake_at_) return;
    wake_at_ = when;
    wake_ = io_.provider->getTimer().afterDelay(ToKjDelay(when - now)).then([this] {
      // Due timers run in a separate event: they may re-arm the timer, which replaces `wake_`, and
      // a promise must not be destroyed from its own continuation.
      tasks.add(kj::evalLater([this] {
        wake_at_ = absl::InfiniteFuture();
        owner_.RunDueTimers();
      }));
    });
    wake_ = wake_.eagerlyEvaluate([this](kj::Exception&& failure) { LogFailure(failure); });
  }

  // Runs `task` and logs an exception that leaves it, so that it does not end other processing.
  void RunTask(absl::AnyInvocable<void()>& task) {
    owner_.RecordActivity();
    KJ_IF_MAYBE (failure, kj::runCatchingExceptions([&task] { task(); })) {
      LogFailure(*failure);
    }
  }

  void LogFailure(const kj::Exception& failure) {
    const auto suppressed = owner_.limiter_.Allow();
    if (suppressed) {
      LOG(ERROR) << "event loop: unhandled exception: " << failure.getDescription().cStr();
    }
  }

  kj::PromiseFulfillerPair<void> stop_request;
  std::vector<absl::AnyInvocable<void()>> turn_end_tasks;
  bool turn_end_scheduled = false;
  // True from the first event that is handled after a wait to the end of the turn.
  bool active = false;
  absl::Time idle_since;
  kj::Promise<void> turn_end = nullptr;

 private:
  void taskFailed(kj::Exception&& failure) override {  // NOLINT(readability-identifier-naming)
    LogFailure(failure);
  }

  event_loop& owner_;
  kj::AsyncIoContext& io_;
  absl::Time wake_at_ = absl::InfiniteFuture();
  kj::Promise<void> wake_ = nullptr;

 public:
  kj::TaskSet tasks;
};

/// Watches a descriptor through KJ's event port, which reports edges only.
class event_loop::observed_descriptor : public descriptor_watch {
 public:
  observed_descriptor(event_loop& owner, int fd, unsigned flags,
                      absl::AnyInvocable<void()> on_input, absl::AnyInvocable<void()> on_output)
      : owner_(owner),
        on_input_(std::move(on_input)),
        on_output_(std::move(on_output)),
        observer_(owner.io_->unixEventPort, fd, flags),
        input_promise_(Supervised(WaitForInput())) {}

  void AwaitOutput() override {
    if (output_awaited_) return;
    output_awaited_ = true;
    output_promise_ = Supervised(observer_.whenBecomesWritable().then([this] {
      // In a separate event, because the callback may wait for output again, which replaces the
      // promise, and a promise must not be destroyed from its own continuation.
      output_event_ = Supervised(kj::evalLater([this] {
        output_awaited_ = false;
        owner_.state_->RunTask(on_output_);
      }));
    }));
  }

 private:
  kj::Promise<void> Supervised(kj::Promise<void> promise) {
    return promise.eagerlyEvaluate(
        [&owner = owner_](kj::Exception&& failure) { owner.state_->LogFailure(failure); });
  }

  kj::Promise<void> WaitForInput() {
    return observer_.whenBecomesReadable().then([this] {
      // The observer is re-armed before the input is read, so that input which arrives during the
      // read is reported too.
      kj::Promise<void> next = WaitForInput();
      owner_.state_->RunTask(on_input_);
      return next;
    });
  }

  event_loop& owner_;
  absl::AnyInvocable<void()> on_input_;
  absl::AnyInvocable<void()> on_output_;
  kj::UnixEventPort::FdObserver observer_;
  bool output_awaited_ = false;
  kj::Promise<void> input_promise_;
  kj::Promise<void> output_promise_ = nullptr;
  kj::Promise<void> output_event_ = nullptr;
};

event_loop::event_loop(const clock_source& clock) : clock_(clock), meter_(clock.Now()) {
  absl::Notification ready;
  thread_ = std::thread([this, &ready] {
    kj_log_callback log(limiter_);
    kj::AsyncIoContext io = kj::setupAsyncIo();
    loop_state state(*this, io);
    io_ = &io;
    state_ = &state;
    state.idle_since = clock_.Now();
    ready.Notify();
    RunLoop();
  });
  ready.WaitForNotification();
}

event_loop::~event_loop() { Stop(); }

void event_loop::RunLoop() {
  kj::Promise<void> tasks =
      posted_tasks_
          .Run(
              io_->unixEventPort,
              [this](absl::AnyInvocable<void()> task) { state_->RunTask(task); },
              [this](const kj::Exception& failure) { state_->LogFailure(failure); })
          .eagerlyEvaluate([this](kj::Exception&& failure) { state_->LogFailure(failure); });
  state_->stop_request.promise.wait(io_->waitScope);
  posted_tasks_.Close();
  state_->turn_end_tasks.clear();
}

void event_loop::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopped_ = true;
  }
  if (!thread_.joinable()) return;
  Post([this] { state_->stop_request.fulfiller->fulfill(); });
  thread_.join();
  absl::MutexLock lock(&mutex_);
  timers_.clear();
  timer_times_.clear();
}

bool event_loop::IsLoopThread() const { return std::this_thread::get_id() == thread_.get_id(); }

void event_loop::Post(absl::AnyInvocable<void()> task) { posted_tasks_.Post(task); }

void event_loop::Run(absl::AnyInvocable<void()> task) {
  if (IsLoopThread()) return task();
  Post(std::move(task));
}

void event_loop::RunAndWait(absl::AnyInvocable<void()> task) {
  if (IsLoopThread()) return task();
  absl::Notification done;
  kj::Maybe<kj::Exception> failed;
  Post([&] {
    failed = kj::runCatchingExceptions([&task] { task(); });
    done.Notify();
  });
  done.WaitForNotification();
  KJ_IF_MAYBE (failure, failed) {
    kj::throwFatalException(kj::mv(*failure));
  }
}

uint64_t event_loop::RunAt(absl::Time when, absl::AnyInvocable<void()> task) {
  uint64_t id = 0;
  bool earliest = false;
  {
    absl::MutexLock lock(&mutex_);
    if (stopped_) return 0;
    id = ++next_id_;
    const auto added = timers_.emplace(timer_key(when, id), std::move(task)).first;
    timer_times_[id] = when;
    earliest = added == timers_.begin();
  }
  if (earliest) Run([this] { ArmTimer(); });
  return id;
}

void event_loop::Cancel(uint64_t id) {
  // Destroyed after the lock is released, because the destructor of a task may call into the loop.
  absl::AnyInvocable<void()> cancelled;
  absl::MutexLock lock(&mutex_);
  const auto found = timer_times_.find(id);
  if (found == timer_times_.end()) return;
  const auto timer = timers_.find(timer_key(found->second, id));
  cancelled = std::move(timer->second);
  timers_.erase(timer);
  timer_times_.erase(found);
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
      timer_times_.erase(timers_.begin()->first.second);
      timers_.erase(timers_.begin());
    }
    state_->RunTask(due);
  }
  ArmTimer();
}

void event_loop::RunAtTurnEnd(absl::AnyInvocable<void()> task) {
  state_->turn_end_tasks.push_back(std::move(task));
  if (state_->turn_end_scheduled) return;
  state_->turn_end_scheduled = true;
  state_->tasks.add(kj::evalLast([this] { RunTurnEndTasks(); }));
}

void event_loop::RunTurnEndTasks() {
  state_->turn_end_scheduled = false;
  std::vector<absl::AnyInvocable<void()>> due = std::exchange(state_->turn_end_tasks, {});
  for (absl::AnyInvocable<void()>& task : due) state_->RunTask(task);
}

void event_loop::RecordActivity() {
  if (std::exchange(state_->active, true)) return;
  {
    absl::MutexLock lock(&mutex_);
    meter_.RecordWait(state_->idle_since, clock_.Now());
  }
  // KJ runs the latest of these events first, so that tasks of the end of the turn precede it.
  state_->turn_end = kj::evalLast([this] {
                       state_->active = false;
                       state_->idle_since = clock_.Now();
                     }).eagerlyEvaluate(nullptr);
}

double event_loop::BusyLoad(absl::Time now) const {
  absl::MutexLock lock(&mutex_);
  return meter_.LoadAt(now);
}

busy_period_report event_loop::TakeBusyPeriod() {
  absl::MutexLock lock(&mutex_);
  return meter_.TakePeriod(clock_.Now());
}

std::string event_loop::FormatPrometheus() const {
  absl::MutexLock lock(&mutex_);
  const absl::Time now = clock_.Now();
  return absl::StrCat(
      "# TYPE teaseljunction_loop_load gauge\nteaseljunction_loop_load ", meter_.LoadAt(now),
      "\n# TYPE teaseljunction_loop_busy_seconds_total counter\n",
      "teaseljunction_loop_busy_seconds_total ", absl::ToDoubleSeconds(meter_.BusyTime(now)), "\n");
}

std::unique_ptr<input_watch> event_loop::WatchInput(int fd, absl::AnyInvocable<void()> on_input) {
  return std::make_unique<observed_descriptor>(
      *this, fd, kj::UnixEventPort::FdObserver::OBSERVE_READ, std::move(on_input), nullptr);
}

std::unique_ptr<descriptor_watch> event_loop::WatchDescriptor(
    int fd, absl::AnyInvocable<void()> on_input, absl::AnyInvocable<void()> on_output) {
  return std::make_unique<observed_descriptor>(*this, fd,
                                               kj::UnixEventPort::FdObserver::OBSERVE_READ_WRITE,
                                               std::move(on_input), std::move(on_output));
}

}  // namespace teaseljunction
