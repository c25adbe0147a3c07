#pragma once

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "membership/types.h"

namespace teaseljunction {

/// Decides whether the first process that announces itself to a daemon is in service. A daemon that
/// has restarted does not know which announcements came before, so an announcement that was delayed
/// may belong to a target that has left in the meantime. It is used once a health check has found
/// that target, or once announcements have kept arriving for longer than those of an ended process
/// can. Not thread-safe.
class target_confirmation {
 public:
  /// `lease` is the time for which an announcement is valid.
  explicit target_confirmation(absl::Duration lease) : lease_(lease) {}

  /// Requires confirmations from now on. Before that, each announcement is used.
  void Require() { required_ = true; }

  /// Requires no confirmations any more. Returns the announcement that waited for one, if any.
  absl::optional<target_announcement> Waive(absl::Time now);

  /// Returns whether `announcement` may be used now. Keeps it otherwise, unless the target is
  /// draining.
  bool Check(const target_announcement& announcement, absl::Time now);

  /// Records that a health check has found the target `target_id`. `revocations` is the value of
  /// `Revocations` at the time at which the check was sent. Returns the announcement that waited
  /// for this, if any.
  absl::optional<target_announcement> Confirm(absl::string_view target_id, uint64_t revocations,
                                              absl::Time now);

  /// Records that a target has withdrawn or started to drain. Checks that were sent before confirm
  /// nothing.
  void Revoke();
  uint64_t Revocations() const { return revocations_; }

  /// Returns whether an announcement waits for a confirmation.
  bool IsWaiting(absl::Time now) const { return waiting_ && now < waiting_until_; }

 private:
  bool IsConfirmed(absl::string_view target_id, absl::Time now) const;

  absl::Duration lease_;
  bool required_ = false;
  uint64_t revocations_ = 0;
  std::string confirmed_id_;
  absl::Time confirmed_until_ = absl::InfinitePast();
  // The latest process whose announcement could not be used, and when its announcements began.
  absl::optional<target_announcement> waiting_;
  absl::Time waiting_since_;
  absl::Time waiting_until_;
};

}  // namespace teaseljunction
