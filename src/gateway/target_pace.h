#pragma once

#include "absl/time/time.h"
#include "absl/types/optional.h"

namespace teaseljunction {

/// Time that work takes at the target beside this daemon, in relation to the usual time, as the
/// target reports it and its service times confirm it. Not thread-safe.
class target_pace {
 public:
  /// Records an answer: the pace that came with it, if any, and the time that the target took.
  void Record(absl::optional<double> reported, absl::Duration service_time, absl::Time now);

  /// Returns the factor by which the load is larger than the number of calls suggests. At least 1,
  /// and 1 when no pace was reported within the last second. A reported pace counts only up to 1.5
  /// times the ratio of the recent to the usual service time.
  double LoadFactor(absl::Time now) const;

  /// Returns the last reported pace, or nothing when there was none.
  absl::optional<double> Reported() const { return reported_; }

  /// Returns the age of the last reported pace.
  absl::Duration Age(absl::Time now) const { return now - reported_at_; }

 private:
  absl::optional<double> reported_;
  absl::Time reported_at_ = absl::InfinitePast();
  /// Averages of service times in seconds.
  double recent_ = 0;
  double usual_ = 0;
  /// Number of answers, counted up to that of the usual service time.
  double answers_ = 0;
};

}  // namespace teaseljunction
