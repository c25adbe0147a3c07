#include <catch2/catch.hpp>

#include "balancer/tests/mocks/service_simulation.h"

namespace teaseljunction {
namespace {

constexpr double kSettlingSeconds = 5;
constexpr absl::Duration kUrgent = absl::Milliseconds(200);

struct scenario {
  uint64_t seed = 1;
  bool planned = true;
  double wave = 0;
  // Demand of a data centre in relation to the capacity of its own target, or of an average one.
  double demand = 0.85;
  bool demand_follows_capacity = false;
};

// Returns a simulation that has run until its daemons have settled.
service_simulation Settled(const scenario& wanted) {
  service_simulation simulation(wanted.seed, wanted.planned, wanted.wave, 8);
  simulation.target_latency = kUrgent;
  simulation.SetDemand(wanted.demand);
  for (auto& target : simulation.targets) {
    if (wanted.demand_follows_capacity) target.demand *= target.speed;
  }
  simulation.Run(kSettlingSeconds);
  return simulation;
}

double LoadRange(const simulation_result& seen) {
  const auto [least, most] = std::minmax_element(seen.load.begin(), seen.load.end());
  return *most - *least;
}

}  // namespace

// Guards against calls that wait at one target while others have room, and against daemons that all
// choose the same target.
TEST_CASE("100 daemons spread an out-of-phase wave in proportion to capacity") {
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    for (const double wave : {0.0, 0.55}) {
      CAPTURE(seed, wave);
      auto simulation = Settled({.seed = seed, .wave = wave});
      const simulation_result seen = simulation.Run(16);
      for (size_t i = 0; i < kPlaces; ++i) {
        CAPTURE(i);
        const double fair_share = simulation.targets[i].speed / kPlaces;
        CHECK(std::abs(seen.share[i] / fair_share - 1) < 0.1);
        CHECK(seen.load[i] < 0.95);
        CHECK(seen.swing[i] < 0.2);
      }
      CHECK(LoadRange(seen) < 0.13);
      CHECK(seen.mean_wait < 0.001);
      CHECK(seen.p99_wait < 0.015);
      CHECK(seen.remote < 0.36);
      // The reactive rule sends calls of an urgent route away from a slow target that has room.
      auto reactive = Settled({.seed = seed, .planned = false, .wave = wave});
      const simulation_result before = reactive.Run(16);
      CHECK(before.remote > 0.45);
      CHECK(LoadRange(before) > 0.15);
    }
  }
}

// Guards against traffic between data centres that gains nothing.
TEST_CASE("100 daemons keep calls local while the local targets have room") {
  for (const double demand : {0.5, 0.6, 0.65}) {
    CAPTURE(demand);
    const scenario calm = {.demand = demand, .demand_follows_capacity = true};
    CHECK(Settled(calm).Run(10).remote < 0.02);
    scenario reactive = calm;
    reactive.planned = false;
    if (demand > 0.6) CHECK(Settled(reactive).Run(10).remote > 0.15);
  }
}

// Guards against daemons that know the load of few of the many targets, since each of them makes
// few calls, and send too many calls to those whose load they do not know.
TEST_CASE("100 daemons spread calls over 21 targets without leaving their data centre") {
  for (const double work : {0.036, 0.36}) {
    CAPTURE(work);
    simulation_result seen[2];
    for (const bool planned : {false, true}) {
      service_simulation simulation(1, planned, 0, 8, 7);
      simulation.work = work;
      for (size_t i = 0; i < simulation.targets.size(); ++i) {
        simulation.targets[i].speed = i / kPlaces % 2 == 0 ? 1.4 : 0.6;
      }
      simulation.SetDemand(5.6);
      simulation.Run(kSettlingSeconds);
      seen[planned ? 1 : 0] = simulation.Run(10);
    }
    CHECK(LoadRange(seen[1]) < 0.12);
    CHECK(seen[1].p99_wait < 0.1 * work);
    CHECK(seen[1].remote < 0.1);
    CHECK(seen[0].remote > 0.2);
  }
}

// Guards against a target that gets more calls than its latency justifies because it claims to be
// idle, and against one that is starved because it claims to be crowded.
TEST_CASE("a false load report neither floods nor starves a target") {
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    CAPTURE(seed);
    auto simulation = Settled({.seed = seed, .wave = 0.2, .demand = 0.55});
    simulation.targets[2].speed = 0.5;
    simulation.targets[2].report_factor = 0;
    const simulation_result idle = simulation.Run(20);
    CHECK(idle.load[2] < 2.3);
    CHECK(idle.mean_wait < 0.03);
    CHECK(idle.load[0] < 0.95);
    CHECK(idle.load[1] < 0.95);

    auto crowded = Settled({.seed = seed, .demand = 0.6, .demand_follows_capacity = true});
    crowded.targets[1].report_factor = 2;
    const simulation_result seen = crowded.Run(20);
    CHECK(seen.share[1] > 0.18);
    CHECK(seen.p99_wait < 0.015);
  }
}

// Guards against a daemon that acts on reports that have expired.
TEST_CASE("without load reports the daemons decide by their own latencies as before") {
  double p99_wait[2];
  for (const bool planned : {false, true}) {
    auto simulation = Settled({.planned = planned, .wave = 0.55, .demand = 0.8});
    for (auto& target : simulation.targets) target.reports = false;
    simulation.Run(2);
    p99_wait[planned ? 1 : 0] = simulation.Run(20).p99_wait;
  }
  CHECK(p99_wait[1] < 1.5 * p99_wait[0]);
}

// Guards against calls that go on leaving for a data centre that is cut off.
TEST_CASE("the remote share falls when another data centre is cut off") {
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    CAPTURE(seed);
    service_simulation simulation =
        Settled({.seed = seed, .demand = 0.8, .demand_follows_capacity = true});
    simulation.targets[1].demand *= 1.3;
    simulation.Run(kSettlingSeconds);
    simulation.targets[2].cut_off = true;
    CHECK(simulation.Run(2).failed < 0.04);
    const simulation_result later = simulation.Run(10);
    CHECK(later.failed < 0.01);
    CHECK(later.remote < 0.1);
    CHECK(later.p99_wait < 0.05);
  }
}

}  // namespace teaseljunction
