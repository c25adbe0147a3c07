#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "balancer/internal/spill_control.h"
#include "balancer/types.h"
#include "common/types.h"

namespace teaseljunction {

/// Exponential moving average of latencies in seconds.
struct latency_average {
  double seconds = 0;
  absl::Time last_sample = absl::InfinitePast();

  bool HasSamples() const { return last_sample != absl::InfinitePast(); }

  /// Returns the average at `now`. Without samples it approaches `resting_value`; the difference
  /// halves once in each `half_life`.
  double At(absl::Time now, double resting_value, absl::Duration half_life) const;
};

/// Simulated load for failed or refused attempts that ended faster than the latency that they count
/// as. It decays over the rest of that latency, so that the target appears as busy as one that
/// really is that slow.
struct penalty_load {
  /// Number of simulated attempts in flight at `updated`.
  double count = 0;
  absl::Time updated = absl::InfinitePast();
  /// Time constant of the decay, set by the last attempt that was added.
  double decay_seconds = 0;

  double At(absl::Time now) const;
  void Add(double remaining_seconds, absl::Time now);
};

/// An entry daemon's observations of one target.
struct target_state {
  balancer_target target;
  /// When this daemon first saw the current incarnation.
  absl::Time joined_at;
  /// True for a target that joined a running service and ramps up.
  bool cold = false;
  bool other_data_centre = false;
  /// Load that the target last reported, and when.
  double reported_load = 0;
  absl::Time load_reported_at = absl::InfinitePast();
  /// Attempts that this daemon has sent since that report.
  uint32_t sent_since_report = 0;
  /// True when the last attempt that ended was answered.
  bool last_answered = false;
  /// Attempts of this daemon without a result, including those to earlier incarnations.
  uint32_t in_flight = 0;
  penalty_load penalty;
  latency_average latency;

  /// Exponential moving average of failures among the results, 0 to 1.
  double failure_ratio = 0;
  /// Results since the start or the last ejection, counted up to the minimum for the failure ratio.
  uint32_t results = 0;
  uint32_t consecutive_failures = 0;
  /// Consecutive ejections, which determine the length of the next one.
  uint32_t ejections = 0;
  absl::Time ejected_until = absl::InfinitePast();

  /// Last reported level, and the time from which on it is not used.
  overload_level level;
  absl::Time level_expires_at = absl::InfinitePast();
  /// Differs per daemon and target, so that levels do not all expire at once.
  absl::Duration level_lifetime = absl::Seconds(1);

  bool Ejected(absl::Time now) const { return now < ejected_until; }

  /// Returns false when a level that has not expired refuses the request.
  bool Admits(request_priority priority, uint8_t cohort, absl::Time now) const {
    return now >= level_expires_at || level.Admits(priority, cohort);
  }

  /// Returns the fraction of a warm target's calls that this target gets, above 0 and at most 1.
  double RampFactor(absl::Time now) const;
  /// Returns the reported load, or 0 when the report has expired.
  double ReportedLoad(absl::Time now) const;
  /// Returns the reported load and what this daemon has sent since the report, or nothing when the
  /// report has expired.
  absl::optional<double> EstimatedLoad(absl::Time now) const;

  /// Returns true when the results exceed a failure threshold.
  bool Failing() const;

  /// Adds a result to the failure statistics.
  void RecordResult(bool failed);

  /// Ejects the target and returns for how long.
  absl::Duration Eject(absl::Time now);

  /// Drops what was observed of an earlier incarnation. The number of attempts in flight is kept,
  /// since the end of each of them is still reported.
  void ResetForNewIncarnation(absl::Time now);
};

/// Targets of a service in the local data centre or in all others, with their latency.
struct target_group {
  std::vector<target_state*> targets;
  latency_average latency;
};

/// The subset of a service's targets that this daemon sends calls to.
struct service_state {
  target_group local;
  target_group remote;
  /// Long-term average of answered attempts, in seconds.
  latency_average baseline;
  /// Targets in the directory, draining ones included.
  size_t total = 0;
  /// Fraction of the calls that leave the data centre, with planned overload control.
  spill_control spill;

  /// Returns the baseline, or a fixed initial value without samples, in seconds.
  double Baseline() const;
  /// Return the expected latency of a group and of one target, in seconds.
  double Expected(const target_group& group, absl::Time now) const;
  double Expected(const target_state& target, absl::Time now) const;

  /// Adds the latency of an attempt, in seconds, to the averages.
  void RecordLatency(target_state& target, attempt_result result, double seconds, absl::Time now);

  /// Ejects a failing target, unless more than half of the subset would then be ejected or the
  /// other targets fail about as often.
  void EjectIfOutlier(target_state& target, absl::Time now);

  /// Ends ejections so that at most half of the subset is ejected, after the subset has changed.
  void LimitEjections(absl::Time now);
};

}  // namespace teaseljunction
