#include "daemon/timer_thread.h"

namespace teaseljunction {

timer_thread::timer_thread(const clock_source& clock) : clock_(clock), thread_([this] { Run(); }) {}

timer_thread::~timer_thread() { Stop(); }

void timer_thread::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.Signal();
  }
  if (thread_.joinable()) thread_.join();
}

uint64_t timer_thread::RunAt(absl::Time when, absl::AnyInvocable<void()> task) {
  absl::MutexLock lock(&mutex_);
  const uint64_t id = ++next_id_;
  const auto added = tasks_.emplace(timer_key(when, id), std::move(task)).first;
  times_[id] = when;
  if (added == tasks_.begin()) changed_.Signal();
  return id;
}

void timer_thread::Cancel(uint64_t id) {
  absl::MutexLock lock(&mutex_);
  const auto found = times_.find(id);
  if (found == times_.end()) return;
  tasks_.erase(timer_key(found->second, id));
  times_.erase(found);
}

void timer_thread::Run() {
  absl::MutexLock lock(&mutex_);
  while (!stopping_) {
    if (tasks_.empty()) {
      changed_.Wait(&mutex_);
      continue;
    }
    const absl::Duration wait = tasks_.begin()->first.first - clock_.Now();
    if (wait > absl::ZeroDuration()) {
      changed_.WaitWithTimeout(&mutex_, wait);
      continue;
    }
    auto due = tasks_.extract(tasks_.begin());
    times_.erase(due.key().second);
    mutex_.Unlock();
    due.mapped()();
    // The task and what it owns are destroyed without the lock, since that may call back here.
    due.mapped() = nullptr;
    mutex_.Lock();
  }
}

}  // namespace teaseljunction
