#include "gateway/target_pace.h"

#include <catch2/catch.hpp>

#include "gateway/load_header.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kUsualTime = absl::Milliseconds(36);
const absl::Time kStart = absl::FromUnixSeconds(1000);

// Returns a pace after 500 answers of the usual service time.
target_pace Experienced() {
  target_pace pace;
  for (int i = 0; i < 500; ++i) pace.Record(1.0, kUsualTime, kStart);
  return pace;
}

}  // namespace

// Guards against figures that a target never meant, and against one malformed figure that hides the
// others.
TEST_CASE("malformed, missing and extreme figures of the load header are unset") {
  struct row {
    const char* value;
    absl::optional<uint32_t> running;
    absl::optional<uint32_t> waiting;
    absl::optional<uint32_t> slots;
    absl::optional<double> pace;
  };
  const row rows[] = {
      {"3,1,8", 3, 1, 8, {}},
      {"3,1,8,250", 3, 1, 8, 2.5},
      {" 3, 1, 8, 62.5", 3, 1, 8, 0.625},
      {"3,1,8,100,7", 3, 1, 8, 1.0},
      {"", {}, {}, {}, {}},
      {",,,", {}, {}, {}, {}},
      {"3", 3, {}, {}, {}},
      {"x,1,8,100", {}, 1, 8, 1.0},
      {"-3,1.5,4294967296,100", {}, {}, {}, 1.0},
      {"4294967295,0,0,10", 4294967295, 0, 0, 0.1},
      {"3,1,8,2000", 3, 1, 8, 20.0},
      {"3,1,8,2001", 3, 1, 8, {}},
      {"3,1,8,9", 3, 1, 8, {}},
      {"3,1,8,0", 3, 1, 8, {}},
      {"3,1,8,-100", 3, 1, 8, {}},
      {"3,1,8,nan", 3, 1, 8, {}},
      {"3,1,8,inf", 3, 1, 8, {}},
      {"3,1,8,1e400", 3, 1, 8, {}},
      {"3,1,8,100%", 3, 1, 8, {}},
      {"3;1;8;100", {}, {}, {}, {}},
  };
  for (const row& expected : rows) {
    CAPTURE(expected.value);
    const load_header parsed = ParseLoadHeader(expected.value);
    CHECK(parsed.running == expected.running);
    CHECK(parsed.waiting == expected.waiting);
    CHECK(parsed.slots == expected.slots);
    CHECK(parsed.pace.has_value() == expected.pace.has_value());
    if (parsed.pace && expected.pace) CHECK(*parsed.pace == Approx(*expected.pace));
  }
}

// Guards against calls that keep going to a host that is slow at the moment.
TEST_CASE("a reported pace counts at once and in full when the service times confirm it") {
  target_pace pace = Experienced();
  CHECK(pace.LoadFactor(kStart) == 1);
  pace.Record(2.5, kUsualTime, kStart);
  CHECK(pace.LoadFactor(kStart) == Approx(1.5));
  for (int i = 0; i < 60; ++i) pace.Record(2.5, 2.5 * kUsualTime, kStart);
  CHECK(pace.LoadFactor(kStart) == Approx(2.5));
  pace.Record(1.0, kUsualTime, kStart);
  CHECK(pace.LoadFactor(kStart) == 1);
}

// Guards against a target that loses its calls, or gets too many, by a pace that is not true or no
// longer true.
TEST_CASE("a pace that the service times contradict, or that is old, counts little") {
  target_pace pace = Experienced();
  for (int i = 0; i < 100; ++i) pace.Record(20.0, kUsualTime, kStart);
  CHECK(pace.LoadFactor(kStart) == Approx(1.5));
  CHECK(pace.LoadFactor(kStart + absl::Milliseconds(999)) == Approx(1.5));
  CHECK(pace.LoadFactor(kStart + absl::Milliseconds(1001)) == 1);
  for (int i = 0; i < 100; ++i) pace.Record(0.1, kUsualTime, kStart);
  CHECK(pace.LoadFactor(kStart) == 1);
  CHECK(target_pace().LoadFactor(kStart) == 1);
}

}  // namespace teaseljunction
