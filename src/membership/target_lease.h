#pragma once

#include <cstdint>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "membership/report_order.h"
#include "membership/target_confirmation.h"
#include "membership/types.h"

namespace teaseljunction {

/// Time for which an announcement of a target or a heartbeat of a daemon is valid.
constexpr absl::Duration kMembershipLease = absl::Seconds(3);

/// Time for which a target goes on serving after it has announced that it is draining.
constexpr absl::Duration kTargetDrainTime = absl::Seconds(2);

/// Result of a target's announcement.
enum class announce_result : uint8_t {
  /// There was no target before.
  kJoined,
  /// It came from the same process as the previous one.
  kRenewed,
  /// It came from a later process; the previous process has therefore ended.
  kReplaced,
  /// Refused: it came from an earlier process, or from one that has withdrawn.
  kOutdated,
  /// Not used yet: it is not known whether the process is still in service.
  kUnconfirmed,
};

/// The target on this daemon's host. It has to renew its announcement before the lease expires.
/// Not thread-safe.
class target_lease {
 public:
  /// `duration` is the time for which an announcement is valid.
  explicit target_lease(absl::Duration duration = kMembershipLease)
      : duration_(duration), order_(duration), confirmation_(duration) {}

  /// Requires that the first process that announces itself is confirmed to be in service. Later
  /// ones need no confirmation, since the order of their announcements is known.
  void RequireConfirmation() { confirmation_.Require(); }

  /// Requires no confirmation, because the health of the target cannot be checked. Returns whether
  /// an announcement that had waited for it is in use now.
  bool WaiveConfirmation(absl::Time now);

  /// Records that a health check has found the target `target_id`, and uses its announcement if one
  /// has waited for this. `revocations` is the value of `Revocations` when the check was sent.
  /// Returns whether that announcement is in use now.
  bool Confirm(absl::string_view target_id, uint64_t revocations, absl::Time now);

  /// Number of withdrawals and drains so far, after which earlier health checks are no longer
  /// valid.
  uint64_t Revocations() const { return confirmation_.Revocations(); }

  /// Returns whether an announcement waits for a confirmation.
  bool AwaitsConfirmation(absl::Time now) const { return confirmation_.IsWaiting(now); }

  /// Processes an announcement. An earlier incarnation replaces a later one only when
  /// `report_order` finds that the earlier one is running; that the lease has expired is not
  /// enough. Draining is permanent for an incarnation, so that a delayed announcement does not send
  /// new requests to a target that is shutting down.
  announce_result Announce(const target_announcement& announcement, absl::Time now);

  /// Uses a target that answered a probe until it announces itself, for at most 2 s. Returns false
  /// and changes nothing while there is a target, and once one has announced itself, drained or
  /// withdrawn.
  bool AcceptProbedTarget(const target_announcement& probed, absl::Time now);

  /// Ends the lease of this incarnation, which cannot announce itself again. Returns false when a
  /// later incarnation is known.
  bool Withdraw(uint64_t incarnation);

  /// Marks this incarnation as draining. Returns false when it is not the current target.
  bool Drain(uint64_t incarnation, absl::Time now);

  /// Returns whether the latest process that announced itself, drained or withdrew has this
  /// incarnation, also after its lease has expired.
  bool IsLatestIncarnation(uint64_t incarnation) const {
    return reported_ && incarnation == order_.Latest().incarnation;
  }

  /// Time at which the target was first known to be draining; InfiniteFuture when it is not.
  absl::Time DrainingSince() const { return draining_since_; }

  /// Removes the target if its lease has expired. Returns true if it was removed.
  bool Expire(absl::Time now);

  /// Returns the target, or nullopt when there is none or its lease has expired.
  absl::optional<target_announcement> Current(absl::Time now) const;

 private:
  // Returns whether the process of an announcement is known to be in service.
  bool IsConfirmed(const target_announcement& announcement, absl::Time now);
  // Uses an announcement that is in order.
  announce_result Use(const target_announcement& announcement, bool other_process, absl::Time now);

  absl::Duration duration_;
  absl::optional<target_announcement> target_;
  /// True once a target has announced itself, drained or withdrawn.
  bool reported_ = false;
  /// True once an announcement was used.
  bool announced_ = false;
  /// True while the target is known from a probe only.
  bool adopted_ = false;
  absl::Time expiry_ = absl::InfinitePast();
  /// Order of the incarnations that were announced or withdrawn.
  report_order order_;
  target_confirmation confirmation_;
  /// True when the latest incarnation has withdrawn.
  bool withdrawn_ = false;
  /// Draining state of the latest incarnation.
  bool draining_ = false;
  absl::Time draining_since_ = absl::InfiniteFuture();
};

}  // namespace teaseljunction
