#include "overload/route_durations.h"

#include <catch2/catch.hpp>

namespace teaseljunction {
namespace {

constexpr absl::Time kStart = absl::UnixEpoch();

}  // namespace

TEST_CASE("a route without calls has no expected duration") {
  const route_durations durations;
  CHECK(durations.Expected("order", kStart) == absl::ZeroDuration());
}

TEST_CASE("the expected duration covers nine in ten of the calls that ended") {
  route_durations durations;
  for (int i = 0; i < 20; ++i) {
    const absl::Duration duration = absl::Milliseconds(i == 0 ? 5000 : 100 + i);
    durations.RecordStart("order", kStart);
    durations.RecordEnd("order", kStart, true, kStart + duration);
  }
  CHECK(durations.Expected("order", kStart + absl::Seconds(5)) == absl::Milliseconds(119));
  CHECK(durations.Expected("other", kStart) == absl::ZeroDuration());
}

// Guards against a stop that accepts calls whose target has become slow, because none has ended
// yet.
TEST_CASE("calls that outlast the known durations raise the expected duration") {
  route_durations durations;
  for (int i = 0; i < 20; ++i) {
    durations.RecordStart("order", kStart);
    durations.RecordEnd("order", kStart, true, kStart + absl::Milliseconds(100));
  }
  const absl::Time slow = kStart + absl::Seconds(1);
  for (int i = 0; i < 20; ++i) durations.RecordStart("order", slow);
  CHECK(durations.Expected("order", slow + absl::Milliseconds(50)) == absl::Milliseconds(100));
  CHECK(durations.Expected("order", slow + absl::Seconds(2)) == absl::Seconds(4));
}

// Guards against a single call to a silent target that makes a stop refuse all others.
TEST_CASE("a single old call does not raise the expected duration") {
  route_durations durations;
  durations.RecordStart("order", kStart);
  const absl::Time now = kStart + absl::Seconds(9);
  for (int i = 0; i < 20; ++i) {
    durations.RecordStart("order", now);
    durations.RecordEnd("order", now, true, now + absl::Milliseconds(100));
    durations.RecordStart("order", now);
  }
  CHECK(durations.Expected("order", now + absl::Milliseconds(100)) == absl::Milliseconds(100));
}

TEST_CASE("refused calls and calls of long ago do not count") {
  route_durations durations;
  durations.RecordStart("order", kStart);
  durations.RecordEnd("order", kStart, false, kStart + absl::Seconds(3));
  CHECK(durations.Expected("order", kStart + absl::Seconds(3)) == absl::ZeroDuration());
  durations.RecordStart("order", kStart);
  durations.RecordEnd("order", kStart, true, kStart + absl::Seconds(3));
  CHECK(durations.Expected("order", kStart + absl::Seconds(4)) == absl::Seconds(3));
  CHECK(durations.Expected("order", kStart + absl::Seconds(14)) == absl::ZeroDuration());
}

}  // namespace teaseljunction
