#include "membership/target_lease.h"

#include <algorithm>

namespace teaseljunction {
namespace {

// Short, because a target that withdrew from an earlier process of this daemon answers probes but
// never announces itself.
constexpr absl::Duration kAdoptedLease = absl::Seconds(2);

}  // namespace

bool target_lease::AcceptProbedTarget(const target_announcement& probed, absl::Time now) {
  Expire(now);
  if (reported_ || target_) return false;
  adopted_ = true;
  target_ = probed;
  expiry_ = now + std::min(duration_, kAdoptedLease);
  return true;
}

announce_result target_lease::Announce(const target_announcement& announcement, absl::Time now) {
  Expire(now);
  const uint64_t latest = order_.Latest().incarnation;
  const bool other_process = announcement.incarnation != latest;
  if (!other_process && withdrawn_) return announce_result::kOutdated;
  if (!IsConfirmed(announcement, now)) return announce_result::kUnconfirmed;
  if (!order_.Accept({announcement.incarnation, 0}, now)) return announce_result::kOutdated;
  return Use(announcement, other_process, now);
}

bool target_lease::IsConfirmed(const target_announcement& announcement, absl::Time now) {
  if (announced_ || confirmation_.Check(announcement, now)) return true;
  // Calls were refused until now, so the target needs no more of them to drain.
  if (announcement.draining && !target_) Withdraw(announcement.incarnation);
  return false;
}

bool target_lease::WaiveConfirmation(absl::Time now) {
  Expire(now);
  const auto waiting = confirmation_.Waive(now);
  return waiting && Announce(*waiting, now) == announce_result::kJoined;
}

bool target_lease::Confirm(absl::string_view target_id, uint64_t revocations, absl::Time now) {
  Expire(now);
  const auto waiting = confirmation_.Confirm(target_id, revocations, now);
  return waiting && Announce(*waiting, now) == announce_result::kJoined;
}

announce_result target_lease::Use(const target_announcement& announcement, bool other_process,
                                  absl::Time now) {
  const bool had_target = target_.has_value();
  const bool same_as_adopted =
      adopted_ && had_target && target_->target_id == announcement.target_id;
  adopted_ = false;
  reported_ = true;
  announced_ = true;
  if (other_process) {
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
  if (same_as_adopted) return announce_result::kRenewed;
  return other_process ? announce_result::kReplaced : announce_result::kRenewed;
}

bool target_lease::Withdraw(uint64_t incarnation) {
  reported_ = true;
  confirmation_.Revoke();
  if (incarnation < order_.Latest().incarnation) return false;
  order_.Raise({incarnation, 0});
  withdrawn_ = true;
  target_.reset();
  return true;
}

bool target_lease::Drain(uint64_t incarnation, absl::Time now) {
  reported_ = true;
  confirmation_.Revoke();
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
