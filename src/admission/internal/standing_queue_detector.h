#pragma once

#include <array>

#include "absl/time/time.h"
#include "admission/internal/call_queue.h"
#include "common/types.h"

namespace teaseljunction {

/// Detects standing queues. A priority has one when the age of its oldest queued call stayed above
/// a target delay throughout the last two periods; the age is 0 while no call is queued. Unlike the
/// queueing delay of started calls, this also detects a standing queue that is served newest first.
class standing_queue_detector {
 public:
  /// Updates the minimum ages. Must be called after each removal from the queue.
  void Observe(const call_queue& queue, absl::Time now);

  /// Ends a period and compares the minimum ages of the last two periods with `delay_target`.
  void EndPeriod(const call_queue& queue, absl::Duration delay_target, absl::Time now);

  /// Returns, per priority, whether it has a standing queue as of the last `EndPeriod`.
  const std::array<bool, kPriorityCount>& Standing() const { return standing_; }

 private:
  /// Minimum age of the oldest queued call in the current and in the previous period.
  std::array<absl::Duration, kPriorityCount> min_age_ = {};
  std::array<absl::Duration, kPriorityCount> previous_min_age_ = {};
  std::array<bool, kPriorityCount> standing_ = {};
};

}  // namespace teaseljunction
