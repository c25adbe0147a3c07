#include "overload/capacity_plan.h"

#include <catch2/catch.hpp>
#include <limits>
#include <string>

#include "overload/tests/entry_simulation.h"

namespace teaseljunction {
namespace {

constexpr size_t kCritical = 0;
constexpr size_t kHigh = 1;
constexpr size_t kLow = 2;
constexpr absl::Duration kWarmUp = absl::Seconds(10);

// The service of 160 slots and 40 ms per call does 4000 calls/s. With a factor of 1 these requests
// need 2640 of them.
std::vector<simulated_kind> Demand(double factor) {
  return {{400 * factor, request_priority::kCritical, 1},
          {240 * factor, request_priority::kHigh, 4},
          {160 * factor, request_priority::kLow, 8}};
}

constexpr double kBurst = 2.3;
constexpr double kCapacity = 4000;

simulation_settings Settings(bool planned) {
  return {.planned = planned, .entries = 8, .slots = 160, .return_after = {}};
}

std::string Describe(const entry_simulation& simulation) {
  std::string text;
  for (const simulated_kind& kind : simulation.kinds) {
    text += std::to_string(kind.offered) + "/" + std::to_string(kind.admitted) + "/" +
            std::to_string(kind.served) + " ";
  }
  return text;
}

// Runs and returns the mean load of each 100 ms.
std::vector<double> TraceLoad(entry_simulation& simulation, absl::Duration time) {
  std::vector<double> loads;
  for (absl::Duration at; at < time; at += absl::Milliseconds(100)) {
    double sum = 0;
    for (int i = 0; i < 10; ++i) {
      simulation.Run(absl::Milliseconds(10));
      sum += simulation.Load();
    }
    loads.push_back(sum / 10);
  }
  return loads;
}

// Returns the time after which the load stays below `bound`.
absl::Duration SettlingTime(const std::vector<double>& loads, double bound) {
  size_t settled = loads.size();
  while (settled > 0 && loads[settled - 1] < bound) --settled;
  return settled * absl::Milliseconds(100);
}

double ShareSum(const entry_simulation& simulation, size_t entries) {
  double sum = 0;
  for (size_t entry = 0; entry < entries; ++entry) {
    for (const plan_status& status : simulation.Plan(entry).Status(simulation.EntryTime())) {
      if (status.service == "scarce") sum += status.share;
    }
  }
  return sum;
}

// Runs with a demand of 1.45 times the capacity.
struct overloaded_simulation : entry_simulation {
  explicit overloaded_simulation(const simulation_settings& settings = Settings(true))
      : entry_simulation(settings, Demand(2.2)) {
    Run(kWarmUp);
    ResetCounts();
  }
};

}  // namespace

// Guards against refusals without need, at the start of an entry and later.
TEST_CASE("nothing is refused while the capacity suffices") {
  entry_simulation simulation(Settings(true), Demand(1));
  simulation.Run(absl::Seconds(20));
  INFO(Describe(simulation));
  for (const simulated_kind& kind : simulation.kinds) CHECK(kind.admitted > 0.995 * kind.offered);
}

// Guards against a cut that waits for the load to rise, which the calls of a burst do after some
// hundred milliseconds.
TEST_CASE("a burst of the lowest rank is cut before the load rises") {
  capacity_plan plan;
  const route_cost cost = {{"scarce", 1, 0.8, {}}};
  absl::Time now = absl::UnixEpoch();
  // Returns the admitted part of low requests in 50 ms, with 2 high and `low` low ones each ms.
  double load = 0.3;
  const auto step = [&](int low) {
    int admitted = 0;
    for (int millisecond = 0; millisecond < 50; ++millisecond) {
      now += absl::Milliseconds(1);
      plan.RecordLoad({{"scarce", 1, load, {}}}, now);
      for (int i = 0; i < low + 2; ++i) {
        const auto cohort = static_cast<uint8_t>((millisecond * 37 + i * 11) % kCohortCount);
        const auto priority = i < 2 ? request_priority::kHigh : request_priority::kLow;
        const planned_request request{"route", "scarce", cost, priority, cohort};
        plan.RecordOffered(request, now);
        const bool fits = !plan.FindShortage(request, now);
        if (i < 2) CHECK(fits);
        if (i >= 2 && fits) ++admitted;
      }
    }
    return admitted / (50.0 * low);
  };
  for (int i = 0; i < 20; ++i) CHECK(step(1) == 1);
  load = 0.8;
  for (int i = 0; i < 100; ++i) CHECK(step(2) == 1);
  step(5);
  step(5);
  // 4 requests/ms were a load of 0.8, so little more than 4 of 7 fit.
  CHECK(step(5) < 0.55);
  CHECK(step(5) > 0.35);
  // A request that is just behind the cut is expected to find room earlier than the last one.
  const auto room = [&](uint8_t cohort) {
    const planned_request request{"route", "scarce", cost, request_priority::kLow, cohort};
    const auto shortage = plan.FindShortage(request, now);
    return shortage ? shortage->room_expected_in : absl::ZeroDuration();
  };
  CHECK(room(0) == absl::ZeroDuration());
  CHECK(room(100) >= absl::Milliseconds(100));
  CHECK(room(100) < room(kCohortCount - 1));
  CHECK(room(kCohortCount - 1) < absl::Seconds(1));
}

// Guards against a level that falls too late and too far: with the level of `entry_admission` fewer
// of the lowest requests are served, during the burst and after it.
TEST_CASE("in a burst of the lowest rank the others are served and the capacity is used") {
  const bool planned = GENERATE(true, false);
  entry_simulation simulation(Settings(planned), Demand(1));
  simulation.Run(kWarmUp);
  simulation.ResetCounts();
  simulation.kinds[kLow].per_second *= kBurst;
  const std::vector<double> loads = TraceLoad(simulation, absl::Seconds(10));
  const double overshoot = *std::max_element(loads.begin(), loads.end());
  const absl::Duration settled = SettlingTime(loads, 1.2);
  INFO((planned ? "planned " : "reactive ") << Describe(simulation) << "overshoot " << overshoot
                                            << ", settled after " << absl::FormatDuration(settled));
  const double low_in_burst = simulation.kinds[kLow].ServedShare();
  CHECK(simulation.kinds[kCritical].ServedShare() > 0.97);
  CHECK(simulation.kinds[kHigh].ServedShare() > 0.97);
  simulation.ResetCounts();
  simulation.kinds[kLow].per_second /= kBurst;
  simulation.Run(absl::Seconds(3));
  const double low_after = simulation.kinds[kLow].ServedShare();
  INFO("low in the burst " << low_in_burst << ", after it " << low_after);
  CHECK((low_in_burst > 0.75) == planned);
  if (!planned) return;
  CHECK(low_after > 0.95);
  CHECK(overshoot < 1.6);
  CHECK(settled <= absl::Seconds(2));
}

// Guards against requests that time out in front of targets with room, because nobody is told that
// the daemon beside them has no processor time left.
TEST_CASE("entries do not admit what the thread in front of a service cannot pass on") {
  const bool reported = GENERATE(true, false);
  simulation_settings settings = Settings(true);
  // The slots suffice for ten times the calls that the thread passes on.
  settings.slots *= 10;
  settings.thread_time = absl::Seconds(1 / kCapacity);
  settings.reports_thread = reported;
  entry_simulation simulation(settings, Demand(2.2));
  simulation.Run(kWarmUp);
  simulation.ResetCounts();
  simulation.Run(absl::Seconds(20));
  INFO((reported ? "reported " : "not reported ") << Describe(simulation));
  CHECK((simulation.kinds[kHigh].ServedShare() > 0.97) == reported);
  if (!reported) return;
  CHECK(simulation.kinds[kCritical].ServedShare() > 0.97);
  int admitted = 0;
  int served = 0;
  for (const simulated_kind& kind : simulation.kinds) {
    admitted += kind.admitted;
    served += kind.served;
  }
  CHECK(served > 0.97 * admitted);
}

// Guards against an estimate of the capacity that lags, or that falls further with each step in
// which the queue of before is still there.
TEST_CASE("when the capacity halves the share follows and the important requests are served") {
  const bool planned = GENERATE(true, false);
  entry_simulation simulation(Settings(planned), Demand(1.2));
  simulation.Run(kWarmUp);
  simulation.ResetCounts();
  simulation.slots /= 2;
  std::vector<double> loads = TraceLoad(simulation, absl::Milliseconds(1500));
  const double share = ShareSum(simulation, 8);
  for (const double load : TraceLoad(simulation, absl::Milliseconds(8500))) loads.push_back(load);
  const double high = simulation.kinds[kHigh].ServedShare();
  INFO((planned ? "planned " : "reactive ")
       << Describe(simulation) << "overshoot " << *std::max_element(loads.begin(), loads.end())
       << ", settled after " << absl::FormatDuration(SettlingTime(loads, 1.5)) << ", share "
       << share);
  CHECK(simulation.kinds[kCritical].ServedShare() > 0.97);
  simulation.slots *= 2;
  simulation.Run(absl::Seconds(1));
  simulation.ResetCounts();
  simulation.Run(absl::Seconds(4));
  const double low_after = simulation.kinds[kLow].ServedShare();
  INFO("high " << high << ", low after the capacity is back " << low_after);
  CHECK((high > 0.85 && low_after > 0.85) == planned);
  if (!planned) return;
  CHECK(share > 0.7 * kCapacity / 2);
  CHECK(share < 1.3 * kCapacity / 2);
  CHECK(SettlingTime(loads, 1.5) <= absl::Seconds(2));
}

// Guards against refusals that go on because the load that caused them is never measured again.
TEST_CASE("without valid reports the refusals end") {
  const bool missing = GENERATE(true, false);
  overloaded_simulation simulation;
  if (missing) simulation.reports = false;
  simulation.report_age = absl::Seconds(2);
  simulation.report = [](double) { return 5; };
  for (simulated_kind& kind : simulation.kinds) kind.per_second /= 2.2;
  simulation.Run(absl::Seconds(3));
  simulation.ResetCounts();
  simulation.Run(absl::Seconds(5));
  INFO(Describe(simulation));
  for (const simulated_kind& kind : simulation.kinds) CHECK(kind.ServedShare() > 0.97);
}

// Guards against a share that a false report makes so large that it takes seconds to come down.
TEST_CASE("a load reported as 0 while calls fail does not outlast the report") {
  overloaded_simulation simulation;
  simulation.report = [](double) { return 0; };
  simulation.Run(absl::Seconds(5));
  simulation.report = [](double load) { return load; };
  simulation.Run(absl::Seconds(3));
  simulation.ResetCounts();
  simulation.Run(absl::Seconds(5));
  INFO(Describe(simulation));
  CHECK(simulation.kinds[kCritical].ServedShare() > 0.97);
  CHECK(simulation.kinds[kHigh].ServedShare() > 0.9);
}

TEST_CASE("loads that are not numbers or negative are ignored") {
  capacity_plan plan;
  const absl::Time now = absl::UnixEpoch();
  plan.RecordLoad({{"scarce", 1, std::numeric_limits<double>::quiet_NaN(), {}},
                   {"scarce", 1, std::numeric_limits<double>::infinity(), {}},
                   {"scarce", 1, -1, {}}},
                  now);
  CHECK(plan.Status(now).empty());
}

// Guards against steps that do not end, or loads that do not expire, until the clock has caught up.
TEST_CASE("a clock that steps back changes no decision for long") {
  overloaded_simulation simulation;
  simulation.clock_offset = -absl::Minutes(10);
  simulation.Run(absl::Seconds(5));
  INFO(Describe(simulation));
  CHECK(simulation.kinds[kCritical].ServedShare() > 0.97);
  CHECK(simulation.kinds[kHigh].ServedShare() > 0.9);
  for (simulated_kind& kind : simulation.kinds) kind.per_second /= 2.2;
  simulation.Run(absl::Seconds(2));
  simulation.ResetCounts();
  simulation.Run(absl::Seconds(5));
  INFO(Describe(simulation));
  CHECK(simulation.kinds[kLow].ServedShare() > 0.97);
}

// Guards against an entry that admits everything until it has learned what its requests cost.
TEST_CASE("an entry that restarts under full load does not flood the service") {
  entry_simulation simulation(Settings(true), Demand(4));
  simulation.Run(kWarmUp);
  std::fill(simulation.calls_admitted_at.begin(), simulation.calls_admitted_at.end(), 0);
  simulation.RestartEntry(0);
  simulation.Run(absl::Seconds(1));
  INFO("admitted calls of the entry " << simulation.calls_admitted_at[0] << ", of another "
                                      << simulation.calls_admitted_at[1]);
  CHECK(simulation.calls_admitted_at[0] < 1.5 * simulation.calls_admitted_at[1]);
  CHECK(simulation.calls_admitted_at[0] > 0.3 * simulation.calls_admitted_at[1]);
  std::fill(simulation.calls_admitted_at.begin(), simulation.calls_admitted_at.end(), 0);
  simulation.Run(absl::Seconds(4));
  INFO("later " << simulation.calls_admitted_at[0] << " and " << simulation.calls_admitted_at[1]);
  CHECK(simulation.calls_admitted_at[0] > 0.5 * simulation.calls_admitted_at[1]);
}

// Guards against returning requests that displace those of higher ranks, or the admitted flow.
TEST_CASE("clients that ignore Retry-After gain no capacity") {
  simulation_settings settings = Settings(true);
  settings.return_after = absl::Milliseconds(20);
  overloaded_simulation simulation(settings);
  simulation.Run(absl::Seconds(10));
  INFO(Describe(simulation));
  CHECK(simulation.kinds[kCritical].ServedShare() > 0.97);
  CHECK(simulation.kinds[kHigh].ServedShare() > 0.95);
  CHECK(simulation.kinds[kLow].ServedShare() > 0.2);
}

// Guards against counting requests without a token as a part of the load.
TEST_CASE("requests that are withdrawn do not count") {
  capacity_plan plan;
  const route_cost cost = {{"scarce", 1, 0.8, {}}};
  absl::Time now = absl::UnixEpoch();
  for (int i = 0; i < 3000; ++i) {
    now += absl::Milliseconds(1);
    plan.RecordLoad({{"scarce", 1, i < 500 ? 0.3 : 0.8, {}}}, now);
    const planned_request kept{"route", "scarce", cost, request_priority::kLow, 5};
    plan.RecordOffered(kept, now);
    CHECK(!plan.FindShortage(kept, now));
    const planned_request withdrawn{"route", "scarce", cost, request_priority::kCritical, 5};
    plan.RecordOffered(withdrawn, now);
    if (!plan.FindShortage(withdrawn, now)) plan.RecordWithdrawn(withdrawn, now);
  }
  const plan_status status = plan.Status(now).front();
  CHECK(status.offered == Approx(1000).epsilon(0.05));
  CHECK(status.share == Approx(1250).epsilon(0.05));
}

// Guards against a service that refuses requests in place of others that another service refuses.
TEST_CASE("requests refused for one service do not take capacity of the others") {
  capacity_plan plan;
  const route_cost both = {{"roomy", 1, 0, {}}, {"scarce", 1, 0, {}}};
  const route_cost roomy = {{"roomy", 1, 0, {}}};
  absl::Time now = absl::UnixEpoch();
  int refused = 0;
  for (int i = 0; i < 12000; ++i) {
    now += absl::Milliseconds(1);
    // From the third second on, the requests that reach both services arrive at a fourfold rate.
    const bool overload = i >= 3000;
    plan.RecordLoad({{"roomy", 1, 0.6, {}}, {"scarce", 1, overload ? 0.9 : 0.6, {}}}, now);
    for (int copy = 0; copy < (overload ? 4 : 1); ++copy) {
      const auto cohort = static_cast<uint8_t>((i * 37 + copy * 11) % kCohortCount);
      const planned_request request{"both", "roomy", both, request_priority::kLow, cohort};
      plan.RecordOffered(request, now);
      plan.FindShortage(request, now);
    }
    const planned_request request{"roomy", "roomy", roomy, request_priority::kLow,
                                  static_cast<uint8_t>(i * 37 % kCohortCount)};
    plan.RecordOffered(request, now);
    if (plan.FindShortage(request, now) && i >= 3300) ++refused;
  }
  CHECK(refused < 10);
}

// The cut moves by whole priorities every 100 ms here; one line per second is enough.
TEST_CASE("a change of the cut is returned at most once per second") {
  capacity_plan plan;
  absl::Time now = absl::UnixEpoch();
  int changes = 0;
  const route_cost cost = {{"scarce", 1, 0.8, {}}};
  for (int i = 0; i < 5000; ++i) {
    now += absl::Milliseconds(1);
    plan.RecordLoad({{"scarce", 1, i < 1000 || i / 300 % 2 == 0 ? 0.8 : 3, {}}}, now);
    const planned_request request{"route", "scarce", cost, request_priority::kLow,
                                  static_cast<uint8_t>(i % kCohortCount)};
    plan.RecordOffered(request, now);
    plan.FindShortage(request, now);
    changes += static_cast<int>(plan.TakeCutChanges(now).size());
  }
  CHECK(changes >= 1);
  CHECK(changes <= 5);
}

}  // namespace teaseljunction
