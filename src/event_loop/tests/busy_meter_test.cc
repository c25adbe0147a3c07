#include "event_loop/busy_meter.h"

#include <catch2/catch.hpp>

namespace teaseljunction {
namespace {

constexpr absl::Time kStart = absl::UnixEpoch();

/// Alternates runs and waits of these lengths for `time` and returns the time at the end.
absl::Time Alternate(busy_meter& meter, absl::Time from, absl::Duration run, absl::Duration wait,
                     absl::Duration time) {
  absl::Time now = from;
  while (now < from + time) {
    meter.RecordWait(now + run, now + run + wait);
    now += run + wait;
  }
  return now;
}

}  // namespace

TEST_CASE("the load of a loop is the share of time in which it does not wait") {
  for (const double share : {0.1, 0.5, 0.9}) {
    busy_meter meter(kStart);
    const absl::Duration turn = absl::Milliseconds(2);
    const absl::Time now =
        Alternate(meter, kStart, share * turn, (1 - share) * turn, absl::Seconds(1));
    CHECK(meter.LoadAt(now) == Approx(share).margin(0.02));
    CHECK(absl::ToDoubleSeconds(meter.BusyTime(now)) == Approx(share).margin(0.01));
  }
}

TEST_CASE("a loop that does not come to wait has a load above 1 that grows with its queue") {
  busy_meter meter(kStart);
  const absl::Time now =
      Alternate(meter, kStart, absl::Milliseconds(1), absl::Milliseconds(1), absl::Seconds(1));
  const double soon = meter.LoadAt(now + absl::Milliseconds(250));
  CHECK(soon > 1);
  CHECK(meter.LoadAt(now + absl::Milliseconds(400)) > soon);
  CHECK(meter.LoadAt(now + absl::Hours(1)) == Approx(2));
}

// Guards against a saturated loop that counts as one with room, because it looks for events between
// those that have queued.
TEST_CASE("a loop that finds events at each wait has a load above 1") {
  busy_meter meter(kStart);
  const absl::Time now = Alternate(meter, kStart, absl::Milliseconds(1), absl::Microseconds(10),
                                   absl::Milliseconds(300));
  CHECK(meter.LoadAt(now) > 1.5);
  CHECK(meter.BusyTime(now) > absl::Milliseconds(290));
  const busy_period_report period = meter.TakePeriod(now);
  CHECK(period.longest_run > absl::Milliseconds(290));
  CHECK(period.waits == 0);
  const absl::Time idle = Alternate(meter, now, absl::Microseconds(100), absl::Milliseconds(1),
                                    absl::Milliseconds(300));
  CHECK(meter.LoadAt(idle) < 0.2);
}

// Guards against a target that gets no more calls because its host was suspended once.
TEST_CASE("the load of a loop falls soon after a stall") {
  busy_meter meter(kStart);
  const absl::Time stalled = kStart + absl::Seconds(5);
  meter.RecordWait(stalled, stalled + absl::Milliseconds(1));
  const absl::Time now = Alternate(meter, stalled + absl::Milliseconds(1), absl::Milliseconds(1),
                                   absl::Milliseconds(9), absl::Milliseconds(300));
  CHECK(meter.LoadAt(now) < 0.2);
}

TEST_CASE("a period reports the busy share, the longest run and the waits since the last one") {
  busy_meter meter(kStart);
  meter.RecordWait(kStart + absl::Milliseconds(300), kStart + absl::Milliseconds(600));
  meter.RecordWait(kStart + absl::Milliseconds(700), kStart + absl::Seconds(1));
  const busy_period_report first = meter.TakePeriod(kStart + absl::Seconds(1));
  CHECK(first.busy_share == Approx(0.4));
  CHECK(first.longest_run == absl::Milliseconds(300));
  CHECK(first.waits == 2);
  const busy_period_report second = meter.TakePeriod(kStart + absl::Seconds(2));
  CHECK(second.busy_share == Approx(1));
  CHECK(second.longest_run == absl::Seconds(1));
  CHECK(second.waits == 0);
}

TEST_CASE("a clock that steps back does not change the load") {
  busy_meter meter(kStart);
  const absl::Time now =
      Alternate(meter, kStart, absl::Milliseconds(5), absl::Milliseconds(5), absl::Seconds(1));
  const double before = meter.LoadAt(now);
  CHECK(meter.LoadAt(now - absl::Seconds(1)) == Approx(before));
  meter.RecordWait(now - absl::Seconds(1), now - absl::Seconds(1));
  CHECK(meter.LoadAt(now - absl::Seconds(1)) == Approx(before));
}

}  // namespace teaseljunction
