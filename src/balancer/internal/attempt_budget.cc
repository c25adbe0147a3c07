#include "balancer/attempt_budget.h"

#include <algorithm>

namespace teaseljunction {

uint32_t attempt_budget::HandOut(uint32_t attempts) {
  left_ -= attempts;
  open_allocations_.push_back({++last_allocation_id_, attempts});
  return attempts;
}

absl::optional<uint32_t> attempt_budget::TakeForDispatch() {
  if (left_ == 0) return absl::nullopt;
  --left_;
  return HandOut(left_);
}

absl::optional<uint32_t> attempt_budget::TakeForChild() {
  if (left_ == 0) return absl::nullopt;
  return HandOut(left_ - left_ / 2);
}

void attempt_budget::ReturnAllocation(uint32_t allocation_id, uint32_t unused) {
  const auto found = std::find_if(
      open_allocations_.begin(), open_allocations_.end(),
      [allocation_id](const open_allocation& candidate) { return candidate.id == allocation_id; });
  if (found == open_allocations_.end()) return;
  left_ += std::min(unused, found->attempts);
  open_allocations_.erase(found);
}

uint32_t attempt_budget::Close() {
  const uint32_t unused = left_;
  left_ = 0;
  open_allocations_.clear();
  return unused;
}

}  // namespace teaseljunction
