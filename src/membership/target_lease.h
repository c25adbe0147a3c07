#pragma once

#include <cstdint>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "membership/types.h"

namespace teaseljunction {

/// Time for which a target's announcement, or a daemon's heartbeat, is valid.
constexpr absl::Duration kMembershipLease = absl::Seconds(3);

/// What an announcement did.
enum class announce_result : uint8_t {
  /// There was no target before.
  kJoined,
  /// The same process as before.
  kRenewed,
  /// A later process replaced the known one, which therefore has ended.
  kReplaced,
  /// Refused: from an earlier process, or from one that has withdrawn.
  kOutdated,
};

/// The target beside this daemon. A target renews its announcement within the lease.
class target_lease {
 public:
  /// `duration` is the time for which an announcement is valid.
  explicit target_lease(absl::Duration duration = kMembershipLease) : duration_(duration) {}

  /// Processes an announcement. An earlier incarnation never replaces a later one, not even after
  /// the lease has expired. Draining is permanent for an incarnation, so that a delayed
  /// announcement does not bring new work to a target that is leaving.
  announce_result Announce(const target_announcement& announcement, absl::Time now);

  /// Takes a target that answered a probe, for a time shorter than the lease, until it announces
  /// itself. Returns false, and changes nothing, once a target has announced itself or withdrawn.
  bool Adopt(const target_announcement& found, absl::Time now);

  /// Ends the lease of this incarnation; it cannot announce itself again. Returns false when a
  /// later incarnation is known.
  bool Withdraw(uint64_t incarnation);

  /// Marks this incarnation as draining. Returns false when another incarnation is current.
  bool Drain(uint64_t incarnation, absl::Time now);

  /// Time at which the target was first known to drain; InfiniteFuture when it does not.
  absl::Time DrainingSince() const { return draining_since_; }

  /// Removes the target when its lease has expired. Returns true when it did so.
  bool Expire(absl::Time now);

  /// Returns the target, or nothing when there is none or its lease has expired.
  absl::optional<target_announcement> Current(absl::Time now) const;

 private:
  absl::Duration duration_;
  absl::optional<target_announcement> target_;
  /// True once a target has announced itself, drained or withdrawn.
  bool reported_ = false;
  /// True while the target is known from a probe only.
  bool adopted_ = false;
  absl::Time expiry_ = absl::InfinitePast();
  /// Highest incarnation that was announced or withdrawn.
  uint64_t highest_incarnation_ = 0;
  bool withdrawn_ = false;
  /// Draining state of `highest_incarnation_`.
  bool draining_ = false;
  absl::Time draining_since_ = absl::InfiniteFuture();
};

}  // namespace teaseljunction
