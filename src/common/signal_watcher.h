#pragma once

#include <atomic>
#include <csignal>
#include <thread>

#include "absl/functional/any_invocable.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

namespace teaseljunction {

/// Blocks `signals` in the calling thread and in all threads that it starts later, so that a
/// `signal_watcher` receives them.
void BlockSignals(absl::Span<const int> signals);

/// Handles signals of the process on a thread of its own. The signals must be blocked in all
/// threads. They stay blocked after the end of the watcher: one that arrives later has no effect.
class signal_watcher {
 public:
  /// Calls `handle` with each of `signals` that arrives, and with 0 when none has arrived for
  /// `idle_interval`.
  signal_watcher(absl::Span<const int> signals, absl::AnyInvocable<void(int)> handle,
                 absl::Duration idle_interval = absl::InfiniteDuration());

  /// Ends the thread. Waits for a call of `handle` that is running.
  ~signal_watcher();

  signal_watcher(const signal_watcher&) = delete;
  signal_watcher& operator=(const signal_watcher&) = delete;

 private:
  void Run();

  const int wake_signal_;
  const sigset_t signals_;
  const absl::Duration idle_interval_;
  absl::AnyInvocable<void(int)> handle_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace teaseljunction
