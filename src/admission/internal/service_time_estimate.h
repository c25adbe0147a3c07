#pragma once

#include <array>

#include "absl/time/time.h"
#include "common/types.h"

namespace teaseljunction {

/// Exponentially smoothed service time of a target. Kept per priority, since calls of different
/// priorities tend to do different work.
class service_time_estimate {
 public:
  /// Adds the service time of a finished call.
  void Add(request_priority priority, absl::Duration service_time, absl::Time now);
  /// Drops all estimates.
  void Reset();

  /// Returns the expected service time, zero when unknown. The estimate decays while no call of
  /// this priority finishes; otherwise an estimate above every deadline would refuse all calls and
  /// never be corrected.
  absl::Duration Expected(request_priority priority, absl::Time now) const;

  /// Returns the expected service time over all priorities, zero when unknown. Does not decay.
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
