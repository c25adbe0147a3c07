#include "event_loop/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
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

}  // namespace
}  // namespace teaseljunction
