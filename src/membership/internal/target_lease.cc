#include "membership/target_lease.h"

#include <algorithm>

namespace teaseljunction {

announce_result target_lease::Announce(const target_announcement& announcement, absl::Time now) {
  Expire(now);
  if (announcement.incarnation < highest_incarnation_) return announce_result::kOutdated;
  const bool later = announcement.incarnation > highest_incarnation_;
  if (!later && withdrawn_) return announce_result::kOutdated;
  const bool had_target = target_.has_value();
  if (later) {
    highest_incarnation_ = announcement.incarnation;
    withdrawn_ = false;
    draining_ = false;
    draining_since_ = absl::InfiniteFuture();
  }
  draining_ = draining_ || announcement.draining;
  if (draining_) draining_since_ = std::min(draining_since_, now);
  target_ = announcement;
  target_->draining = draining_;
  expiry_ = now + duration_;
  if (!had_target) return announce_result::kJoined;
  return later ? announce_result::kReplaced : announce_result::kRenewed;
}

bool target_lease::Withdraw(uint64_t incarnation) {
  if (incarnation < highest_incarnation_) return false;
  highest_incarnation_ = incarnation;
  withdrawn_ = true;
  target_.reset();
  return true;
}

bool target_lease::Drain(uint64_t incarnation, absl::Time now) {
  Expire(now);
  if (!target_ || target_->incarnation != incarnation) return false;
  draining_ = true;
  draining_since_ = std::min(draining_since_, now);
  target_->draining = true;
  return true;
}

bool target_lease::Expire(absl::Time now) {
  if (!target_ || now < expiry_) return false;
  target_.reset();
  return true;
}

absl::optional<target_announcement> target_lease::Current(absl::Time now) const {
  if (!target_ || now >= expiry_) return absl::nullopt;
  return target_;
}

}  // namespace teaseljunction
