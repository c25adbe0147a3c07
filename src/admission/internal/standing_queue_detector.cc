#include "admission/internal/standing_queue_detector.h"

#include <algorithm>

namespace teaseljunction {
namespace {

absl::Duration OldestAge(const call_queue& queue, size_t priority, absl::Time now) {
  const queued_call* oldest = queue.Oldest(static_cast<request_priority>(priority));
  return oldest == nullptr ? absl::ZeroDuration() : now - oldest->queued_since;
}

}  // namespace

void standing_queue_detector::Observe(const call_queue& queue, absl::Time now) {
  for (size_t p = 0; p < kPriorityCount; ++p) {
    min_age_[p] = std::min(min_age_[p], OldestAge(queue, p, now));
  }
}

void standing_queue_detector::EndPeriod(const call_queue& queue, absl::Duration delay_target,
                                        absl::Time now) {
  Observe(queue, now);
  for (size_t p = 0; p < kPriorityCount; ++p) {
    standing_[p] = std::min(min_age_[p], previous_min_age_[p]) > delay_target;
    previous_min_age_[p] = min_age_[p];
    min_age_[p] = OldestAge(queue, p, now);
  }
}

}  // namespace teaseljunction
