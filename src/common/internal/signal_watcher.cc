#include "common/signal_watcher.h"

#include <cerrno>
#include <ctime>
#include <utility>

namespace teaseljunction {
namespace {

sigset_t SetOf(absl::Span<const int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) sigaddset(&set, signal);
  return set;
}

}  // namespace

void BlockSignals(absl::Span<const int> signals) {
  const sigset_t set = SetOf(signals);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

signal_watcher::signal_watcher(absl::Span<const int> signals, absl::AnyInvocable<void(int)> handle,
                               absl::Duration idle_interval)
    : wake_signal_(signals.front()),
      signals_(SetOf(signals)),
      idle_interval_(idle_interval),
      handle_(std::move(handle)),
      thread_(&signal_watcher::Run, this) {}

signal_watcher::~signal_watcher() {
  stopping_ = true;
  // Ends the wait of the thread. The signal is sent to this thread alone.
  pthread_kill(thread_.native_handle(), wake_signal_);
  thread_.join();
}

void signal_watcher::Run() {
  const timespec interval = absl::ToTimespec(idle_interval_);
  while (!stopping_) {
    const int signal = idle_interval_ == absl::InfiniteDuration()
                           ? sigwaitinfo(&signals_, nullptr)
                           : sigtimedwait(&signals_, nullptr, &interval);
    if (stopping_) return;
    if (signal < 0 && errno != EAGAIN) continue;
    handle_(signal < 0 ? 0 : signal);
  }
}

}  // namespace teaseljunction
