#pragma once

#include <array>

#include "absl/time/time.h"
#include "admission/internal/call_queue.h"
#include "common/types.h"

namespace teaseljunction {

/// Detects standing queues: per priority, whether the age of the oldest waiting call has been above
/// a target value during the last two periods. It is 0 while none waits. Unlike the wait of started
/// calls, this also shows a standing queue that is served newest first.
class queue_watch {
 public:
  /// Must be called after each removal from the queue.
  void Observe(const call_queue& queue, absl::Time now);

  /// Ends a period and compares with `target`.
  void EndPeriod(const call_queue& queue, absl::Duration target, absl::Time now);

  const std::array<bool, kPriorityCount>& Standing() const { return standing_; }

 private:
  std::array<absl::Duration, kPriorityCount> smallest_ = {};
  std::array<absl::Duration, kPriorityCount> smallest_before_ = {};
  std::array<bool, kPriorityCount> standing_ = {};
};

}  // namespace teaseljunction
