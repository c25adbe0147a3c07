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

TEST_CASE("tasks run on the loop's thread in the order of their times") {
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
    if (loop.OnLoopThread()) order.push_back(1);
  });
  done.WaitForNotification();
  CHECK(order == std::vector<int>{1, 2});
}

TEST_CASE("a cancelled task does not run, also when it was the earliest one") {
  const system_clock_source clock;
  event_loop loop(clock);
  std::atomic<int> ran = 0;
  absl::Notification done;
  const uint64_t id = loop.RunAt(clock.Now() + absl::Milliseconds(5), [&] { ++ran; });
  loop.Cancel(id);
  loop.RunAt(clock.Now() + absl::Milliseconds(15), [&] { done.Notify(); });
  done.WaitForNotification();
  CHECK(ran == 0);
}

TEST_CASE("a task at the end of a turn runs after the tasks that are due") {
  const system_clock_source clock;
  event_loop loop(clock);
  std::vector<int> order;
  absl::Notification done;
  loop.RunAndWait([&] {
    loop.AtTurnEnd([&] {
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

TEST_CASE("input behind an epoll descriptor is reported each time it arrives") {
  const system_clock_source clock;
  event_loop loop(clock);
  const int inner = epoll_create1(EPOLL_CLOEXEC);
  const int event = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  epoll_event wanted = {};
  wanted.events = EPOLLIN;
  epoll_ctl(inner, EPOLL_CTL_ADD, event, &wanted);
  std::unique_ptr<input_watch> watch;
  absl::Notification first;
  absl::Notification second;
  loop.RunAndWait([&] {
    watch = loop.Watch(inner, [&] {
      eventfd_t count = 0;
      eventfd_read(event, &count);
      (first.HasBeenNotified() ? second : first).Notify();
    });
  });
  eventfd_write(event, 1);
  first.WaitForNotification();
  eventfd_write(event, 1);
  second.WaitForNotification();
  loop.RunAndWait([&] { watch.reset(); });
  close(event);
  close(inner);
  CHECK(second.HasBeenNotified());
}

}  // namespace
}  // namespace teaseljunction
