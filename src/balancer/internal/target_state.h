#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "balancer/types.h"
#include "common/types.h"

namespace teaseljunction {

/// Moving average of latencies in seconds.
struct latency_average {
  double seconds = 0;
  absl::Time sampled = absl::InfinitePast();

  bool Sampled() const { return sampled != absl::InfinitePast(); }

  /// Returns the average, which approaches `rest` while there are no samples. Half of the distance
  /// is left after each `half_life`.
  double At(absl::Time now, double rest, absl::Duration half_life) const;
};

/// Failed attempts that ended faster than the latency that they count as. Each one decays over the
/// rest of that latency, so that the target seems as busy as a target that is really that slow.
struct held_attempts {
  double count = 0;
  absl::Time updated = absl::InfinitePast();
  double seconds = 0;

  double At(absl::Time now) const;
  void Add(double rest_seconds, absl::Time now);
};

/// What an entry daemon has observed of one target.
struct target_state {
  balancer_target target;
  /// When the current incarnation became known.
  absl::Time joined;
  /// True for a target that joined a running service and ramps up.
  bool cold = false;
  bool other_data_centre = false;
  /// Load that the target told last, and when.
  double load = 0;
  absl::Time load_told = absl::InfinitePast();
  /// Own attempts without a result, also those to an earlier incarnation.
  uint32_t in_flight = 0;
  held_attempts held;
  latency_average latency;

  /// Moving share of failures among the results, 0 to 1.
  double failure_share = 0;
  uint32_t results = 0;
  uint32_t consecutive_failures = 0;
  /// Ejections in a row, which set the next period.
  uint32_t ejections = 0;
  absl::Time ejected_until = absl::InfinitePast();

  overload_level level;
  absl::Time level_until = absl::InfinitePast();
  /// Differs per daemon and target, so that levels do not all age out at once.
  absl::Duration level_lifetime = absl::Seconds(1);

  bool Ejected(absl::Time now) const { return now < ejected_until; }

  /// True unless a level that is still valid refuses the request.
  bool Admits(request_priority priority, uint8_t cohort, absl::Time now) const {
    return now >= level_until || level.Admits(priority, cohort);
  }

  /// Share of a warm target's calls that this target gets, above 0 and at most 1.
  double Ramp(absl::Time now) const;
  /// Returns the load that was told, or 0 when that was long ago.
  double LoadAt(absl::Time now) const;

  /// True when the results exceed a failure threshold.
  bool Failing() const;

  void RecordResult(bool failed);

  /// Ejects the target. Returns the period.
  absl::Duration Eject(absl::Time now);

  /// Forgets what belongs to an earlier incarnation. Attempts in flight are kept, since each of
  /// them still ends.
  void Restart(absl::Time now);
};

/// Latencies of the targets of a service in the own or in the other data centres.
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

  double Baseline() const;
  /// Expected latency in seconds of a group and of one target.
  double Expected(const target_group& group, absl::Time now) const;
  double Expected(const target_state& target, absl::Time now) const;

  /// Adds the latency of an attempt to the averages.
  void RecordLatency(target_state& target, attempt_result result, double seconds, absl::Time now);

  /// Ejects a failing target unless half of the subset is ejected, or the others fail as much.
  void EjectIfOutlier(target_state& target, absl::Time now);

  /// Ends the ejections above half of the subset, after the subset has changed.
  void LimitEjections(absl::Time now);
};

}  // namespace teaseljunction
