#include "event_loop/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

#include "absl/synchronization/notification.h"

namespace teaseljunction {
namespace {

TEST_CASE("scheduled tasks run on the loop's thread in order of their times") {
  const system_clock_source clock;
  event_loop loop(clock);
  std::vector<int> order;
  absl::Notification done;
  const absl::Time now = clock.Now();
  loop.RunAt(now + absl::Milliseconds(20), [&] {
    order.push_back(2);
    done.Notify();
  });
  loop.RunAt(now + absl::Milliseconds(5), [&] {
    if (loop.IsLoopThread()) order.push_back(1);
  });
  done.WaitForNotification();
  CHECK(order == std::vector<int>{1, 2});
}

TEST_CASE("a cancelled task does not run, even if it was the earliest one") {
  const system_clock_source clock;
  event_loop loop(clock);
  std::atomic<int> run_count = 0;
  absl::Notification done;
  const uint64_t id = loop.RunAt(clock.Now() + absl::Milliseconds(5), [&] { ++run_count; });
  loop.Cancel(id);
  loop.RunAt(clock.Now() + absl::Milliseconds(15), [&] { done.Notify(); });
  done.WaitForNotification();
  CHECK(run_count == 0);
}

TEST_CASE("a turn-end task runs after the current task and before tasks posted in the same turn") {
  const system_clock_source clock;
  event_loop loop(clock);
  std::vector<int> order;
  absl::Notification done;
  loop.RunAndWait([&] {
    loop.RunAtTurnEnd([&] {
      order.push_back(3);
      done.Notify();
    });
    loop.Post([&] { order.push_back(2); });
    order.push_back(1);
  });
  done.WaitForNotification();
  loop.Stop();
  CHECK(order.front() == 1);
  CHECK(order[1] == 3);
}

// Guards against a loop that does not come to its other events.
TEST_CASE("turn-end tasks run although activity is recorded after they were added") {
  const system_clock_source clock;
  event_loop loop(clock);
  absl::Notification done;
  kj::Promise<void> added = nullptr;
  loop.RunAndWait([&] {
    // Reaches the loop through KJ alone.
    added = loop.IoContext()
                .provider->getTimer()
                .afterDelay(2 * kj::MILLISECONDS)
                .then([&] {
                  loop.RunAtTurnEnd([&] { done.Notify(); });
                  loop.RecordActivity();
                })
                .eagerlyEvaluate(nullptr);
  });
  CHECK(done.WaitForNotificationWithTimeout(absl::Seconds(10)));
  loop.RunAndWait([&] { added = nullptr; });
}

TEST_CASE("input on a nested epoll descriptor is reported each time it arrives") {
  const system_clock_source clock;
  event_loop loop(clock);
  const int epoll_fd = epoll_create1(EPOLL_CLOEXEC);
  const int event_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  epoll_event interest = {};
  interest.events = EPOLLIN;
  epoll_ctl(epoll_fd, EPOLL_CTL_ADD, event_fd, &interest);
  std::unique_ptr<input_watch> watch;
  absl::Notification first;
  absl::Notification second;
  loop.RunAndWait([&] {
    watch = loop.WatchInput(epoll_fd, [&] {
      eventfd_t count = 0;
      eventfd_read(event_fd, &count);
      (first.HasBeenNotified() ? second : first).Notify();
    });
  });
  eventfd_write(event_fd, 1);
  first.WaitForNotification();
  eventfd_write(event_fd, 1);
  second.WaitForNotification();
  loop.RunAndWait([&] { watch.reset(); });
  close(event_fd);
  close(epoll_fd);
  CHECK(second.HasBeenNotified());
}

// Guards against a loop that runs no further task, and cannot be stopped, after a task has thrown.
TEST_CASE("tasks that throw do not end the processing of other tasks") {
  struct failure_case {
    const char* description;
    void (*run)(event_loop&, absl::AnyInvocable<void()> failing, absl::AnyInvocable<void()> next);
  };
  const std::vector<failure_case> cases = {
      {"posted",
       [](event_loop& loop, absl::AnyInvocable<void()> failing, absl::AnyInvocable<void()> next) {
         loop.Post(std::move(failing));
         loop.Post(std::move(next));
       }},
      {"at a time",
       [](event_loop& loop, absl::AnyInvocable<void()> failing, absl::AnyInvocable<void()> next) {
         const absl::Time now = system_clock_source().Now();
         loop.RunAt(now, std::move(failing));
         loop.RunAt(now + absl::Milliseconds(5), std::move(next));
       }},
      {"at the end of a turn",
       [](event_loop& loop, absl::AnyInvocable<void()> failing, absl::AnyInvocable<void()> next) {
         loop.RunAndWait([&] {
           loop.RunAtTurnEnd(std::move(failing));
           loop.RunAtTurnEnd(std::move(next));
         });
       }},
  };
  const system_clock_source clock;
  for (const failure_case& row : cases) {
    INFO(row.description);
    event_loop loop(clock);
    absl::Notification done;
    row.run(
        loop, [] { throw std::runtime_error("failed"); }, [&] { done.Notify(); });
    CHECK(done.WaitForNotificationWithTimeout(absl::Seconds(10)));
  }
}

// Guards against a caller that waits forever for a task that has thrown.
TEST_CASE("an exception of an awaited task is passed to the waiting thread") {
  const system_clock_source clock;
  event_loop loop(clock);
  CHECK_THROWS(loop.RunAndWait([] { throw std::runtime_error("failed"); }));
  bool run = false;
  loop.RunAndWait([&] { run = true; });
  CHECK(run);
}

// Guards against a connection that is no longer served after one of its events has failed.
TEST_CASE("input is still reported after a callback has thrown") {
  const system_clock_source clock;
  event_loop loop(clock);
  const int event_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  std::unique_ptr<input_watch> watch;
  absl::Notification failed;
  absl::Notification second;
  loop.RunAndWait([&] {
    watch = loop.WatchInput(event_fd, [&] {
      eventfd_t count = 0;
      eventfd_read(event_fd, &count);
      if (failed.HasBeenNotified()) return second.Notify();
      failed.Notify();
      throw std::runtime_error("failed");
    });
  });
  eventfd_write(event_fd, 1);
  failed.WaitForNotification();
  eventfd_write(event_fd, 1);
  CHECK(second.WaitForNotificationWithTimeout(absl::Seconds(10)));
  loop.RunAndWait([&] { watch.reset(); });
  close(event_fd);
}

}  // namespace
}  // namespace teaseljunction
