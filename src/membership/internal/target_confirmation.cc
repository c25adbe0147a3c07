#include "membership/target_confirmation.h"

#include <utility>

namespace teaseljunction {
namespace {

// A target may leave at any time after a health check.
constexpr absl::Duration kConfirmationLifetime = absl::Seconds(2);
// As in `report_order`: longer than the announcements of an ended process can keep arriving.
constexpr int kLeasesUntilCurrent = 2;

}  // namespace

bool target_confirmation::IsConfirmed(absl::string_view target_id, absl::Time now) const {
  return now < confirmed_until_ && confirmed_id_ == target_id;
}

bool target_confirmation::Check(const target_announcement& announcement, absl::Time now) {
  if (!required_ || IsConfirmed(announcement.target_id, now)) return true;
  if (announcement.draining) return false;
  if (!IsWaiting(now)) waiting_.reset();
  if (waiting_ && announcement.incarnation < waiting_->incarnation) return false;
  const bool same_process = waiting_ && waiting_->incarnation == announcement.incarnation;
  if (!same_process) waiting_since_ = now;
  waiting_ = announcement;
  waiting_until_ = now + lease_;
  return now - waiting_since_ >= kLeasesUntilCurrent * lease_;
}

absl::optional<target_announcement> target_confirmation::Waive(absl::Time now) {
  required_ = false;
  if (!IsWaiting(now)) return absl::nullopt;
  return std::exchange(waiting_, absl::nullopt);
}

absl::optional<target_announcement> target_confirmation::Confirm(absl::string_view target_id,
                                                                 uint64_t revocations,
                                                                 absl::Time now) {
  if (revocations != revocations_) return absl::nullopt;
  confirmed_id_ = std::string(target_id);
  confirmed_until_ = now + kConfirmationLifetime;
  if (!IsWaiting(now) || waiting_->target_id != target_id) return absl::nullopt;
  return std::exchange(waiting_, absl::nullopt);
}

void target_confirmation::Revoke() {
  ++revocations_;
  confirmed_until_ = absl::InfinitePast();
  waiting_.reset();
}

}  // namespace teaseljunction
