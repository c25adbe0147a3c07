#include "overload/entry_admission.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace teaseljunction {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(5);

/// One kind of request: how many arrive per second, their priority and their calls of the scarce
/// service.
struct request_kind {
  double per_second;
  request_priority priority;
  double scarce_calls;
  double offered = 0;
  double admitted = 0;
};

/// Plays requests against a scarce service of a given capacity in calls per second whose calls
/// arrive some time after the request was admitted. The load is told with the answers.
class overload_play {
 public:
  overload_play(double capacity, std::vector<request_kind> kinds)
      : capacity_(capacity), kinds_(std::move(kinds)) {}

  void Run(absl::Duration time, bool measured) {
    for (const absl::Time end = now_ + time; now_ < end; now_ += kTick) Tick(measured);
  }

  double AdmittedPart(size_t kind) const { return kinds_[kind].admitted / kinds_[kind].offered; }
  double CallsPerSecond(absl::Duration time) const { return calls_ / absl::ToDoubleSeconds(time); }

 private:
  void Tick(bool measured) {
    const double seconds = absl::ToDoubleSeconds(kTick);
    double calls = 0;
    for (request_kind& kind : kinds_) {
      const int arrived = std::poisson_distribution<int>(kind.per_second * seconds)(random_);
      for (int i = 0; i < arrived; ++i) {
        const auto cohort = static_cast<uint8_t>(random_() % kCohortCount);
        const route_cost cost = {{"front", 1, 0}, {"scarce", kind.scarce_calls, 0}};
        const bool admitted = admission_.Refusing(cost, kind.priority, cohort, now_).empty();
        if (measured) kind.offered += 1;
        if (measured && admitted) kind.admitted += 1;
        if (admitted) calls += kind.scarce_calls;
      }
    }
    if (measured) calls_ += calls;
    on_the_way_.push_back(calls);
    // The calls of a request come within 300 ms of it, and the load that is told is an average.
    if (on_the_way_.size() > 60) {
      load_ += 0.05 * (on_the_way_.front() / seconds / capacity_ - load_);
      on_the_way_.pop_front();
    }
    const double pressure = load_ < 1 ? load_ : 1 + 3 * (load_ - 1);
    admission_.Observe({{"front", 1, 0.2}, {"scarce", 1, pressure}}, now_);
  }

  const double capacity_;
  std::vector<request_kind> kinds_;
  entry_admission admission_;
  std::mt19937 random_{11};
  std::deque<double> on_the_way_;
  double load_ = 0;
  double calls_ = 0;
  absl::Time now_ = absl::UnixEpoch();
};

constexpr absl::Duration kSettle = absl::Seconds(5);
constexpr absl::Duration kMeasured = absl::Seconds(20);

}  // namespace

// The load: lookups cause eight calls each of a service that bookings need directly. Callers must
// get bookings and orders whole while lookups are cut to what is left.
TEST_CASE("the least important requests that reach a full service are refused at the entry") {
  overload_play play(1000, {{200, request_priority::kLow, 8},
                            {150, request_priority::kNormal, 1},
                            {80, request_priority::kHigh, 4},
                            {100, request_priority::kLow, 0}});
  play.Run(kSettle, false);
  play.Run(kMeasured, true);
  CHECK(play.AdmittedPart(1) > 0.97);
  CHECK(play.AdmittedPart(2) > 0.97);
  CHECK(play.AdmittedPart(3) == 1);
  CHECK(play.AdmittedPart(0) < 0.5);
  // The service is used, and not beyond its capacity.
  CHECK(play.CallsPerSecond(kMeasured) > 700);
  CHECK(play.CallsPerSecond(kMeasured) < 1000);
}

TEST_CASE("nothing is refused while every service has room") {
  overload_play play(3000, {{200, request_priority::kLow, 8}, {150, request_priority::kNormal, 1}});
  play.Run(kSettle, false);
  play.Run(kMeasured, true);
  CHECK(play.AdmittedPart(0) == 1);
  CHECK(play.AdmittedPart(1) == 1);
}

// Guards against an entry that stays closed after the overload is over.
TEST_CASE("the level opens again when the service has room or tells nothing") {
  entry_admission admission;
  absl::Time now = absl::UnixEpoch();
  for (int i = 0; i < 200; ++i) {
    admission.Observe({{"scarce", 1, 2.0}}, now);
    now += absl::Milliseconds(20);
  }
  CHECK(admission.LevelOf("scarce") < 1);
  const route_cost cost = {{"scarce", 1, 0}};
  CHECK(admission.Refusing(cost, request_priority::kLow, 0, now) == "scarce");
  for (int i = 0; i < 400; ++i) {
    now += absl::Milliseconds(50);
    admission.Refusing(cost, request_priority::kLow, 0, now);
  }
  CHECK(admission.Refusing(cost, request_priority::kLow, kCohortCount - 1, now).empty());
}

}  // namespace teaseljunction
