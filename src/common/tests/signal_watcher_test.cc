#include "common/signal_watcher.h"

#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <ctime>

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

namespace teaseljunction {
namespace {

constexpr int kSignals[] = {SIGUSR1, SIGUSR2};
constexpr timespec kLongWait = {10, 0};

sigset_t WatchedSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : kSignals) sigaddset(&set, signal);
  return set;
}

}  // namespace

TEST_CASE("each signal is handled, and the interval without one is reported") {
  BlockSignals(kSignals);
  absl::Notification first;
  absl::Notification second;
  absl::Notification idle;
  const signal_watcher watcher(
      kSignals,
      [&](int signal) {
        if (signal == SIGUSR1) first.Notify();
        if (signal == SIGUSR2) second.Notify();
        if (signal == 0 && !idle.HasBeenNotified()) idle.Notify();
      },
      absl::Milliseconds(10));
  kill(getpid(), SIGUSR1);
  CHECK(first.WaitForNotificationWithTimeout(absl::Seconds(10)));
  kill(getpid(), SIGUSR2);
  CHECK(second.WaitForNotificationWithTimeout(absl::Seconds(10)));
  CHECK(idle.WaitForNotificationWithTimeout(absl::Seconds(10)));
}

// Guards against a signal during the end of a process whose handler uses an object that no longer
// exists.
TEST_CASE("no signal is handled after the end of the watcher") {
  BlockSignals(kSignals);
  std::atomic<int> handled = 0;
  {
    absl::Notification first;
    const signal_watcher watcher(kSignals, [&](int) {
      if (++handled == 1) first.Notify();
    });
    kill(getpid(), SIGUSR1);
    first.WaitForNotification();
  }
  kill(getpid(), SIGUSR1);
  const sigset_t watched = WatchedSignals();
  // Takes the signal, which would otherwise be handled by the next watcher.
  CHECK(sigtimedwait(&watched, nullptr, &kLongWait) == SIGUSR1);
  CHECK(handled == 1);
}

// Guards against a handler that still runs when the objects that it uses are destroyed.
TEST_CASE("the end of a watcher waits for the handler") {
  BlockSignals(kSignals);
  absl::Notification started;
  std::atomic<bool> finished = false;
  {
    const signal_watcher watcher(kSignals, [&](int) {
      started.Notify();
      absl::SleepFor(absl::Milliseconds(50));
      finished = true;
    });
    kill(getpid(), SIGUSR1);
    started.WaitForNotification();
  }
  CHECK(finished);
}

}  // namespace teaseljunction
