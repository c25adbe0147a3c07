#include "balancer/attempt_budget.h"

#include <algorithm>

namespace teaseljunction {

uint32_t attempt_budget::HandOut(uint32_t attempts) {
  left_ -= attempts;
  open_parts_.push_back({++last_part_, attempts});
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

void attempt_budget::ReturnAllocation(uint32_t part, uint32_t unused) {
  const auto found =
      std::find_if(open_parts_.begin(), open_parts_.end(),
                   [part](const open_part& candidate) { return candidate.number == part; });
  if (found == open_parts_.end()) return;
  left_ += std::min(unused, found->attempts);
  open_parts_.erase(found);
}

uint32_t attempt_budget::Close() {
  const uint32_t unused = left_;
  left_ = 0;
  open_parts_.clear();
  return unused;
}

}  // namespace teaseljunction
