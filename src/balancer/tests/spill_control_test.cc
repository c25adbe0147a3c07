#include "balancer/internal/spill_control.h"

#include <catch2/catch.hpp>

namespace teaseljunction {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(20);

// Returns the share after `time` of constant inputs.
double ShareAfter(spill_control& control, const spill_inputs& inputs, absl::Time& now,
                  absl::Duration time) {
  for (const absl::Time end = now + time; now < end; now += kStep) control.Update(inputs, now);
  return control.Share();
}

}  // namespace

// Guards against expensive traffic between data centres that gains nothing, and against local
// targets that are kept crowded while others have room.
TEST_CASE("the remote share follows the load difference in bounded steps") {
  struct row {
    spill_inputs inputs;
    double min_share;
    double max_share;
  };
  const row rows[] = {
      {{0.65, 0.1, 0.02, 0.02}, 0, 0},      // Below the load from which spilling pays off.
      {{0.9, 0.9, 0.02, 0.02}, 0, 0},       // Nothing to gain.
      {{1.5, 0.6, 0.02, 0.02}, 0.8, 0.95},  // Crowded here, room there.
      {{1.5, {}, 0.02, 0.02}, 0.01, 0.05},  // Unknown remote load: only probes.
      {{{}, 0.2, 0.02, 0.02}, 0, 0},        // Unknown local load: the caller decides by latency.
      {{1.5, 0.1, 0.02, 0.2}, 0, 0},        // The remote latency contradicts its load.
      {{0.2, 0.2, 0.2, 0.02}, 0.8, 0.95},   // The local latency contradicts its load.
  };
  for (const row& expected : rows) {
    CAPTURE(&expected - rows);
    spill_control control;
    absl::Time now = absl::FromUnixSeconds(1000);
    CHECK(ShareAfter(control, expected.inputs, now, kStep) <= 0.081);
    const double share = ShareAfter(control, expected.inputs, now, absl::Seconds(20));
    CHECK(share >= expected.min_share);
    CHECK(share <= expected.max_share);
    ShareAfter(control, {0.5, 0.5, 0.02, 0.02}, now, absl::Seconds(10));
    CHECK(control.Share() == 0);
  }
}

// Guards against a share that jumps after a pause in the calls or does not move after the clock was
// set back.
TEST_CASE("the remote share changes little after a pause or a step of the clock") {
  const spill_inputs crowded = {2, 0.1, 0.02, 0.02};
  for (const auto step : {absl::Seconds(100), -absl::Seconds(100)}) {
    spill_control control;
    absl::Time now = absl::FromUnixSeconds(1000);
    const double before = ShareAfter(control, {0.8, 0.72, 0.02, 0.02}, now, absl::Seconds(1));
    CHECK(before > 0.05);
    now += step;
    control.Update(crowded, now);
    CHECK(control.Share() - before > 0);
    CHECK(control.Share() - before <= 0.401);
    CHECK(ShareAfter(control, crowded, now, absl::Seconds(2)) > 0.8);
  }
}

// Guards against a log line for each update.
TEST_CASE("a change of the remote share is due for the log once per second at most") {
  spill_control control;
  absl::Time now = absl::FromUnixSeconds(1000);
  int lines = 0;
  for (int i = 0; i < 500; ++i, now += kStep) {
    control.Update({i % 100 < 50 ? 2 : 0.1, 0.4, 0.02, 0.02}, now);
    if (control.TakeLogDue(now)) ++lines;
  }
  CHECK(lines >= 5);
  CHECK(lines <= 11);
}

}  // namespace teaseljunction
