#include "balancer/internal/target_state.h"

#include <algorithm>
#include <cmath>

#include "common/log.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kRampTime = absl::Seconds(10);
constexpr double kRampStart = 0.1;
/// Share of a target that says that it is still slow.
constexpr double kWarmingShare = 0.5;

constexpr uint32_t kConsecutiveFailures = 5;
constexpr double kFailureShare = 0.3;
constexpr uint32_t kResultsForShare = 20;
constexpr double kResultWeight = 0.1;
/// A target is an outlier when its failure share is this many times the mean of the subset. With a
/// higher share everywhere the cause is behind the service, and ejection would only add load to
/// the remaining targets.
constexpr double kOutlierFactor = 1.3;

constexpr absl::Duration kFirstEjection = absl::Seconds(1);
constexpr absl::Duration kLongestEjection = absl::Seconds(30);

/// Expected latency before the first answer.
constexpr double kInitialLatency = 0.010;
constexpr double kShortestLatency = 1e-5;
constexpr double kLongestLatency = 60;
/// Latency that a failure or a refusal counts as, in multiples of the baseline.
constexpr double kFailurePenalty = 10;
constexpr double kRefusalPenalty = 2;

/// Time for which a told load is used.
constexpr absl::Duration kLoadLifetime = absl::Seconds(1);
constexpr absl::Duration kTargetHalfLife = absl::Seconds(5);
constexpr absl::Duration kGroupHalfLife = absl::Seconds(2);

/// How fast an average follows its samples: over `time` when samples are frequent, and with at
/// most `highest` of each sample, so that single samples do not decide.
struct averaging {
  absl::Duration time;
  double lowest;
  double highest;
};
constexpr averaging kTargetAveraging = {absl::Seconds(1), 0.1, 0.5};
constexpr averaging kGroupAveraging = {absl::Seconds(1), 0.02, 0.1};
constexpr averaging kBaselineAveraging = {absl::Seconds(30), 0.0005, 0.1};

void Sample(latency_average& average, double current, double sample, absl::Time now,
            const averaging& speed) {
  if (!average.Sampled()) {
    average = {sample, now};
    return;
  }
  const double elapsed = absl::FDivDuration(now - average.sampled, speed.time);
  const double weight = std::clamp(1 - std::exp(-elapsed), speed.lowest, speed.highest);
  average.seconds = current + weight * (sample - current);
  average.sampled = std::max(average.sampled, now);
}

template <class Visitor>
void ForEachTarget(const service_state& service, Visitor&& visit) {
  for (target_state* target : service.local.targets) visit(*target);
  for (target_state* target : service.remote.targets) visit(*target);
}

}  // namespace

double latency_average::At(absl::Time now, double rest, absl::Duration half_life) const {
  if (!Sampled()) return rest;
  const double half_lives = std::max(0.0, absl::FDivDuration(now - sampled, half_life));
  return rest + (seconds - rest) * std::exp2(-half_lives);
}

double held_attempts::At(absl::Time now) const {
  if (count == 0) return 0;
  return count * std::exp(-std::max(0.0, absl::ToDoubleSeconds(now - updated)) / seconds);
}

void held_attempts::Add(double rest_seconds, absl::Time now) {
  if (rest_seconds <= 0) return;
  count = At(now) + 1;
  updated = now;
  seconds = rest_seconds;
}

double target_state::Ramp(absl::Time now) const {
  if (target.warm_up) return now < joined + *target.warm_up ? kWarmingShare : 1;
  if (!cold) return 1;
  const double progress = absl::FDivDuration(now - joined, kRampTime);
  return std::clamp(kRampStart + (1 - kRampStart) * progress, kRampStart, 1.0);
}

double target_state::LoadAt(absl::Time now) const {
  return now - load_told > kLoadLifetime ? 0 : load;
}

bool target_state::Failing() const {
  if (consecutive_failures >= kConsecutiveFailures) return true;
  return results >= kResultsForShare && failure_share > kFailureShare;
}

void target_state::RecordResult(bool failed) {
  results = std::min(results + 1, kResultsForShare);
  failure_share += kResultWeight * ((failed ? 1 : 0) - failure_share);
  consecutive_failures = failed ? consecutive_failures + 1 : 0;
}

absl::Duration target_state::Eject(absl::Time now) {
  const auto period = [this] {
    return std::min(kLongestEjection, kFirstEjection * (1 << std::min(ejections, 5U)));
  };
  // A target that stayed in service for longer than its last ejection starts over.
  if (now - ejected_until > period()) ejections = 0;
  const absl::Duration length = period();
  ejected_until = now + length;
  ++ejections;
  results = 0;
  // The first failure after the ejection ejects it again.
  consecutive_failures = kConsecutiveFailures - 1;
  return length;
}

void target_state::Restart(absl::Time now) {
  const uint32_t kept = in_flight;
  *this = target_state{};
  in_flight = kept;
  joined = now;
}

double service_state::Baseline() const {
  return baseline.Sampled() ? baseline.seconds : kInitialLatency;
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
  double sample = std::clamp(seconds, kShortestLatency, kLongestLatency);
  const double expected = Expected(target, now);
  // The time until a cancellation is only a lower bound of the latency.
  if (result == attempt_result::kCancelled && sample <= expected) return;
  if (result == attempt_result::kAnswered) {
    Sample(baseline, Baseline(), sample, now, kBaselineAveraging);
  }
  if (result == attempt_result::kFailed || result == attempt_result::kRefused) {
    const bool failed = result == attempt_result::kFailed;
    sample = std::max(sample, (failed ? kFailurePenalty : kRefusalPenalty) * Baseline());
    target.held.Add(sample - seconds, now);
  }
  Sample(target.latency, expected, sample, now, kTargetAveraging);
  target_group& group = target.other_data_centre ? remote : local;
  Sample(group.latency, Expected(group, now), sample, now, kGroupAveraging);
}

void service_state::EjectIfOutlier(target_state& target, absl::Time now) {
  if (target.Ejected(now) || !target.Failing()) return;
  double shares = 0;
  size_t ejected = 0;
  ForEachTarget(*this, [&](const target_state& other) {
    shares += other.failure_share;
    if (other.Ejected(now)) ++ejected;
  });
  const size_t size = local.targets.size() + remote.targets.size();
  if ((ejected + 1) * 2 > size) return;
  if (target.failure_share <= kOutlierFactor * shares / static_cast<double>(size)) return;
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
