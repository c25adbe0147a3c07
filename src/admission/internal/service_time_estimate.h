#pragma once

#include <array>

#include "absl/time/time.h"
#include "common/types.h"

namespace teaseljunction {

/// Smoothed service time of a target, per priority, since priorities tend to be different work.
class service_time_estimate {
 public:
  void Add(request_priority priority, absl::Duration service_time, absl::Time now);
  void Reset();

  /// Returns the expected service time, zero when unknown. It decreases while no call of this
  /// priority finishes; otherwise an estimate above every deadline would never be corrected.
  absl::Duration Expected(request_priority priority, absl::Time now) const;

  /// Returns the expected service time over all priorities.
  absl::Duration Mean() const { return mean_; }

 private:
  struct estimate {
    absl::Duration value;
    absl::Time updated = absl::InfinitePast();
  };

  std::array<estimate, kPriorityCount> estimates_;
  absl::Duration mean_;
};

}  // namespace teaseljunction
