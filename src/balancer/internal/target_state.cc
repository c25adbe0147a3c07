#include "balancer/internal/target_state.h"

#include <algorithm>
#include <cmath>

#include "common/log.h"

namespace teaseljunction {
namespace {

// A cold target gets a fraction of its calls that rises from the initial factor to 1 in this time.
constexpr absl::Duration kRampTime = absl::Seconds(10);
constexpr double kInitialRampFactor = 0.1;
// Fraction of calls for a target that announces that it is still warming up.
constexpr double kWarmUpFactor = 0.5;

// A target is failing after this many consecutive failures, or above this failure ratio once it has
// enough results.
constexpr uint32_t kConsecutiveFailuresToEject = 5;
constexpr double kFailureRatioToEject = 0.3;
constexpr uint32_t kMinResultsForRatio = 20;
constexpr double kResultWeight = 0.1;
// A target is an outlier when its failure ratio is more than this many times the mean of the
// subset. If all targets fail more often, the cause lies behind the service, and ejections would
// only add load to the remaining targets.
constexpr double kOutlierFactor = 1.3;

constexpr absl::Duration kMinEjection = absl::Seconds(1);
constexpr absl::Duration kMaxEjection = absl::Seconds(30);

// Expected latency in seconds before the first answer, and bounds of a sample.
constexpr double kInitialLatency = 0.010;
constexpr double kMinLatency = 1e-5;
constexpr double kMaxLatency = 60;
// Least latency that a failure or a refusal counts as, in multiples of the baseline.
constexpr double kFailurePenaltyFactor = 10;
constexpr double kRefusalPenaltyFactor = 2;

// Time for which a reported load is used.
constexpr absl::Duration kLoadLifetime = absl::Seconds(1);
// Half-lives with which the averages of a target and of a group return to their resting values.
constexpr absl::Duration kTargetHalfLife = absl::Seconds(5);
constexpr absl::Duration kGroupHalfLife = absl::Seconds(2);

// How fast an average follows its samples: with `time_constant`, but with a weight of each sample
// between the bounds. `max_weight` keeps single samples from dominating.
struct averaging_speed {
  absl::Duration time_constant;
  double min_weight;
  double max_weight;
};
constexpr averaging_speed kTargetSpeed = {absl::Seconds(1), 0.1, 0.5};
constexpr averaging_speed kGroupSpeed = {absl::Seconds(1), 0.02, 0.1};
constexpr averaging_speed kBaselineSpeed = {absl::Seconds(30), 0.0005, 0.1};

void AddSample(latency_average& average, double current, double sample, absl::Time now,
               const averaging_speed& speed) {
  if (!average.HasSamples()) {
    average = {sample, now};
    return;
  }
  const double elapsed = absl::FDivDuration(now - average.last_sample, speed.time_constant);
  const double weight = std::clamp(1 - std::exp(-elapsed), speed.min_weight, speed.max_weight);
  average.seconds = current + weight * (sample - current);
  average.last_sample = std::max(average.last_sample, now);
}

template <class Visitor>
void ForEachTarget(const service_state& service, Visitor&& visit) {
  for (target_state* target : service.local.targets) visit(*target);
  for (target_state* target : service.remote.targets) visit(*target);
}

}  // namespace

double latency_average::At(absl::Time now, double resting_value, absl::Duration half_life) const {
  if (!HasSamples()) return resting_value;
  const double half_lives = std::max(0.0, absl::FDivDuration(now - last_sample, half_life));
  return resting_value + (seconds - resting_value) * std::exp2(-half_lives);
}

double penalty_load::At(absl::Time now) const {
  if (count == 0) return 0;
  return count * std::exp(-std::max(0.0, absl::ToDoubleSeconds(now - updated)) / decay_seconds);
}

void penalty_load::Add(double remaining_seconds, absl::Time now) {
  if (remaining_seconds <= 0) return;
  count = At(now) + 1;
  updated = now;
  decay_seconds = remaining_seconds;
}

double target_state::RampFactor(absl::Time now) const {
  if (target.warm_up_remaining)
    return now < joined_at + *target.warm_up_remaining ? kWarmUpFactor : 1;
  if (!cold) return 1;
  const double progress = absl::FDivDuration(now - joined_at, kRampTime);
  return std::clamp(kInitialRampFactor + (1 - kInitialRampFactor) * progress, kInitialRampFactor,
                    1.0);
}

double target_state::ReportedLoad(absl::Time now) const {
  return now - load_reported_at > kLoadLifetime ? 0 : reported_load;
}

absl::optional<double> target_state::EstimatedLoad(absl::Time now) const {
  if (now - load_reported_at > kLoadLifetime) return absl::nullopt;
  return reported_load + sent_since_report / std::max<double>(target.slots, 1);
}

bool target_state::Failing() const {
  if (consecutive_failures >= kConsecutiveFailuresToEject) return true;
  return results >= kMinResultsForRatio && failure_ratio > kFailureRatioToEject;
}

void target_state::RecordResult(bool failed) {
  results = std::min(results + 1, kMinResultsForRatio);
  failure_ratio += kResultWeight * ((failed ? 1 : 0) - failure_ratio);
  consecutive_failures = failed ? consecutive_failures + 1 : 0;
}

absl::Duration target_state::Eject(absl::Time now) {
  const auto period = [this] {
    return std::min(kMaxEjection, kMinEjection * (1 << std::min(ejections, 5U)));
  };
  // The periods start over for a target that stayed in use for longer than its last ejection.
  if (now - ejected_until > period()) ejections = 0;
  const absl::Duration length = period();
  ejected_until = now + length;
  ++ejections;
  results = 0;
  // The first failure after the ejection ejects the target again.
  consecutive_failures = kConsecutiveFailuresToEject - 1;
  return length;
}

void target_state::ResetForNewIncarnation(absl::Time now) {
  const uint32_t attempts_in_flight = in_flight;
  *this = target_state{};
  in_flight = attempts_in_flight;
  joined_at = now;
}

double service_state::Baseline() const {
  return baseline.HasSamples() ? baseline.seconds : kInitialLatency;
}

double service_state::Expected(const target_group& group, absl::Time now) const {
  return group.latency.At(now, Baseline(), kGroupHalfLife);
}

double service_state::Expected(const target_state& target, absl::Time now) const {
  const target_group& group = target.other_data_centre ? remote : local;
  return target.latency.At(now, Expected(group, now), kTargetHalfLife);
}

void service_state::RecordLatency(target_state& target, attempt_result result, double seconds,
                                  absl::Time now) {
  double sample = std::clamp(seconds, kMinLatency, kMaxLatency);
  const double expected = Expected(target, now);
  // The time until a cancellation is only a lower bound of the latency.
  if (result == attempt_result::kCancelled && sample <= expected) return;
  if (result == attempt_result::kAnswered) {
    AddSample(baseline, Baseline(), sample, now, kBaselineSpeed);
  }
  if (result == attempt_result::kFailed || result == attempt_result::kRefused) {
    const bool failed = result == attempt_result::kFailed;
    sample =
        std::max(sample, (failed ? kFailurePenaltyFactor : kRefusalPenaltyFactor) * Baseline());
    target.penalty.Add(sample - seconds, now);
  }
  AddSample(target.latency, expected, sample, now, kTargetSpeed);
  target_group& group = target.other_data_centre ? remote : local;
  AddSample(group.latency, Expected(group, now), sample, now, kGroupSpeed);
}

void service_state::EjectIfOutlier(target_state& target, absl::Time now) {
  if (target.Ejected(now) || !target.Failing()) return;
  double failure_ratios = 0;
  size_t ejected = 0;
  ForEachTarget(*this, [&](const target_state& other) {
    failure_ratios += other.failure_ratio;
    if (other.Ejected(now)) ++ejected;
  });
  const size_t size = local.targets.size() + remote.targets.size();
  if ((ejected + 1) * 2 > size) return;
  if (target.failure_ratio <= kOutlierFactor * failure_ratios / static_cast<double>(size)) return;
  const absl::Duration period = target.Eject(now);
  LOG(WARNING) << "balancer: target " << target.target.daemon_id << " of service "
               << target.target.service << " ejected for " << period;
}

void service_state::LimitEjections(absl::Time now) {
  std::vector<target_state*> ejected;
  ForEachTarget(*this, [&](target_state& target) {
    if (target.Ejected(now)) ejected.push_back(&target);
  });
  const size_t limit = (local.targets.size() + remote.targets.size()) / 2;
  if (ejected.size() <= limit) return;
  std::sort(ejected.begin(), ejected.end(), [](const target_state* a, const target_state* b) {
    return a->ejected_until > b->ejected_until;
  });
  for (size_t i = limit; i < ejected.size(); ++i) ejected[i]->ejected_until = now;
}

}  // namespace teaseljunction
