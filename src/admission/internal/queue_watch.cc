#include "admission/internal/queue_watch.h"

#include <algorithm>

namespace teaseljunction {
namespace {

absl::Duration OldestAge(const call_queue& queue, size_t priority, absl::Time now) {
  const queued_call* oldest = queue.Oldest(static_cast<request_priority>(priority));
  return oldest == nullptr ? absl::ZeroDuration() : now - oldest->since;
}

}  // namespace

void queue_watch::Observe(const call_queue& queue, absl::Time now) {
  for (size_t p = 0; p < kPriorityCount; ++p) {
    smallest_[p] = std::min(smallest_[p], OldestAge(queue, p, now));
  }
}

void queue_watch::EndPeriod(const call_queue& queue, absl::Duration target, absl::Time now) {
  Observe(queue, now);
  for (size_t p = 0; p < kPriorityCount; ++p) {
    standing_[p] = std::min(smallest_[p], smallest_before_[p]) > target;
    smallest_before_[p] = smallest_[p];
    smallest_[p] = OldestAge(queue, p, now);
  }
}

}  // namespace teaseljunction
