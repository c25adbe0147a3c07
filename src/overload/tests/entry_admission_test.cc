#include "overload/entry_admission.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "overload/route_cost_table.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(5);

/// One kind of request: its arrivals per second, priority and calls of the scarce service.
struct request_kind {
  double per_second;
  request_priority priority;
  double scarce_calls;
  double offered = 0;
  double admitted = 0;
};

/// Simulates requests to a scarce service of a given capacity, in calls per second. Its calls
/// arrive some time after their request was admitted. The load is reported with the responses.
class admission_simulation {
 public:
  admission_simulation(double capacity, std::vector<request_kind> kinds)
      : capacity_(capacity), kinds_(std::move(kinds)) {}

  void Run(absl::Duration time, bool measured) {
    for (const absl::Time end = now_ + time; now_ < end; now_ += kTick) Tick(measured);
  }

  double AdmittedShare(size_t kind) const { return kinds_[kind].admitted / kinds_[kind].offered; }
  double CallsPerSecond(absl::Duration time) const { return calls_ / absl::ToDoubleSeconds(time); }

 private:
  void Tick(bool measured) {
    const double seconds = absl::ToDoubleSeconds(kTick);
    double calls = 0;
    for (request_kind& kind : kinds_) {
      const int arrived = std::poisson_distribution<int>(kind.per_second * seconds)(random_);
      for (int i = 0; i < arrived; ++i) {
        const auto cohort = static_cast<uint8_t>(random_() % kCohortCount);
        const route_cost cost = {{"front", 1, 0, {}}, {"scarce", kind.scarce_calls, 0, {}}};
        const bool admitted =
            admission_.FindOverloadedService(cost, kind.priority, cohort, now_).empty();
        if (measured) kind.offered += 1;
        if (measured && admitted) kind.admitted += 1;
        if (admitted) calls += kind.scarce_calls;
      }
    }
    if (measured) calls_ += calls;
    delayed_calls_.push_back(calls);
    // Calls arrive 300 ms after the admission of their request, and the reported load is an
    // average.
    if (delayed_calls_.size() > 60) {
      load_ += 0.05 * (delayed_calls_.front() / seconds / capacity_ - load_);
      delayed_calls_.pop_front();
    }
    const double pressure = load_ < 1 ? load_ : 1 + 3 * (load_ - 1);
    admission_.RecordLoad({{"front", 1, 0.2, {}}, {"scarce", 1, pressure, {}}}, now_);
  }

  const double capacity_;
  std::vector<request_kind> kinds_;
  entry_admission admission_;
  std::mt19937 random_{11};
  std::deque<double> delayed_calls_;
  double load_ = 0;
  double calls_ = 0;
  absl::Time now_ = absl::UnixEpoch();
};

constexpr absl::Duration kWarmUp = absl::Seconds(5);
constexpr absl::Duration kMeasurement = absl::Seconds(20);

}  // namespace

// Each lookup causes eight calls of a service that bookings use directly. Bookings and orders must
// be admitted almost completely, lookups only as far as capacity is left.
TEST_CASE(
    "the least important requests that reach an overloaded service are refused at the entry") {
  admission_simulation simulation(1000, {{200, request_priority::kLow, 8},
                                         {150, request_priority::kNormal, 1},
                                         {80, request_priority::kHigh, 4},
                                         {100, request_priority::kLow, 0}});
  simulation.Run(kWarmUp, false);
  simulation.Run(kMeasurement, true);
  CHECK(simulation.AdmittedShare(1) > 0.97);
  CHECK(simulation.AdmittedShare(2) > 0.97);
  CHECK(simulation.AdmittedShare(3) == 1);
  CHECK(simulation.AdmittedShare(0) < 0.5);
  // The capacity of the service is used but not exceeded.
  CHECK(simulation.CallsPerSecond(kMeasurement) > 700);
  CHECK(simulation.CallsPerSecond(kMeasurement) < 1000);
}

TEST_CASE("nothing is refused while every service has capacity left") {
  admission_simulation simulation(
      3000, {{200, request_priority::kLow, 8}, {150, request_priority::kNormal, 1}});
  simulation.Run(kWarmUp, false);
  simulation.Run(kMeasurement, true);
  CHECK(simulation.AdmittedShare(0) == 1);
  CHECK(simulation.AdmittedShare(1) == 1);
}

// Guards against refusing requests at the entry after the overload has ended.
TEST_CASE("the level rises again when the service has capacity or reports no load") {
  entry_admission admission;
  absl::Time now = absl::UnixEpoch();
  for (int i = 0; i < 200; ++i) {
    admission.RecordLoad({{"scarce", 1, 2.0, {}}}, now);
    now += absl::Milliseconds(20);
  }
  CHECK(admission.LevelOf("scarce") < 1);
  const route_cost cost = {{"scarce", 1, 0, {}}};
  CHECK(admission.FindOverloadedService(cost, request_priority::kLow, 0, now) == "scarce");
  for (int i = 0; i < 400; ++i) {
    now += absl::Milliseconds(50);
    admission.FindOverloadedService(cost, request_priority::kLow, 0, now);
  }
  CHECK(
      admission.FindOverloadedService(cost, request_priority::kLow, kCohortCount - 1, now).empty());
}

// Guards against refusals without end: a daemon between the entry and an overloaded service sees
// the load of the service only while requests that reach it are admitted, and reports the last load
// that it has seen with each response of other requests.
TEST_CASE("a service whose load is no longer measured is not held at its last load") {
  const std::vector<call_ratio> ratios = {{"scarce-route", 1}};
  route_cost_table between;
  entry_admission entry;
  absl::Time now = absl::UnixEpoch();
  const auto report = [&] {
    now += absl::Milliseconds(20);
    const route_cost reported = between.Compose({"front", 1, 0.2, {}}, ratios, now);
    entry.RecordLoad(reported, now);
    entry.FindOverloadedService(reported, request_priority::kLow, 0, now);
  };
  for (int i = 0; i < 500; ++i) {
    between.Update("scarce-route", {{"scarce", 1, 4, {}}}, now);
    report();
  }
  CHECK(entry.LevelOf("scarce") < 1);
  // From here on all requests that reach the service are refused.
  for (int i = 0; i < 600; ++i) report();
  CHECK(entry.LevelOf("scarce") > static_cast<double>(request_priority::kLow));
}

// The age of a load grows while it is kept, over all daemons on its way.
TEST_CASE("loads are reported with their age") {
  const absl::Time start = absl::UnixEpoch();
  route_cost_table middle;
  middle.Update("deep", {{"deep", 1, 0.9, absl::Milliseconds(100)}}, start);
  const std::vector<call_ratio> to_deep = {{"deep", 1}};
  route_cost_table upper;
  upper.Update("middle",
               middle.Compose({"middle", 1, 0.2, {}}, to_deep, start + absl::Milliseconds(300)),
               start + absl::Milliseconds(300));
  const std::vector<call_ratio> to_middle = {{"middle", 1}};
  const route_cost reported =
      upper.Compose({"upper", 1, 0.1, {}}, to_middle, start + absl::Milliseconds(700));
  REQUIRE(reported.size() == 3);
  CHECK(reported[0].load_age == absl::ZeroDuration());
  CHECK(reported[1].load_age == absl::Milliseconds(400));
  CHECK(reported[2].load_age == absl::Milliseconds(800));
}

// Two routes may report the load of a service; the later measurement counts.
TEST_CASE("of two reported loads the one measured later counts") {
  const absl::Time start = absl::UnixEpoch();
  const absl::Time now = start + absl::Seconds(2);
  route_cost_table table;
  table.Update("often", {{"shared", 1, 0.3, {}}}, now);
  table.Update("seldom", {{"shared", 2, 5, {}}}, start);
  const std::vector<call_ratio> ratios = {{"often", 1}, {"seldom", 1}};
  const route_cost reported = table.Compose({"upper", 1, 0.1, {}}, ratios, now);
  REQUIRE(reported.size() == 2);
  CHECK(reported[1].load == 0.3);
  CHECK(reported[1].calls == 3);
}

}  // namespace teaseljunction
