#pragma once

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "control/types.h"
#include "rpc/types.h"

namespace teaseljunction {

/// Settings of a `membership_planner`.
struct membership_planner_settings {
  /// Desired number of voters. 0 disables the planner and leaves the membership to operators.
  size_t desired_voters = 0;
  /// A member is considered alive for this time after its last contact.
  absl::Duration alive_timeout = absl::Seconds(2);
  /// A member without contact for this time is replaced if a spare member is available.
  absl::Duration replacement_timeout = absl::Seconds(4);
  /// A voter that has left heartbeats unanswered for this time is replaced if a learner has caught
  /// up. Until then the group bears one loss less, although the learner stores everything.
  absl::Duration silence_timeout = raft_timing().election_timeout_min;
  /// Largest number of spare members that receive the log as learners while no voter is missing.
  size_t max_spare_learners = 2;
  /// Time after which a change is planned again if it has not been made.
  absl::Duration change_interval = absl::Milliseconds(100);
};

/// A contact with a control member.
struct member_contact {
  uint64_t member_id = 0;
  std::string address;
  std::string data_centre;
  /// True if the member's host has announced its planned shutdown.
  bool draining = false;
};

/// Keeps the control group at the desired number of voters without an operator. Plans one change at
/// a time. Not thread-safe.
///
/// A spare member receives the log as a learner from its first contact on, so that it can take over
/// at once. A voter that is draining still counts towards the majority, so the learner is promoted
/// before that voter is removed. A voter that restarted with an empty directory under a new id, or
/// that was without contact for too long, no longer counts, so it is removed before a learner is
/// promoted. With a learner that has caught up, a voter is replaced as soon as it leaves heartbeats
/// unanswered: it may have been removed for good, and then only its replacement restores the number
/// of losses that the group bears. A voter that was replaced too early comes back as a learner. A
/// voter is removed only if a majority of the remaining voters is alive.
class membership_planner {
 public:
  explicit membership_planner(const membership_planner_settings& settings) : settings_(settings) {}

  /// Starts a term of this member as the leader, and forgets all earlier contacts.
  void StartTerm(absl::Time now);

  /// Records a contact with a member: it has a data directory and is alive at its address.
  void RecordContact(member_contact contact, absl::Time now);

  /// Replaces what the leader knows of the other members from its heartbeats.
  void RecordProgress(absl::Span<const member_progress> progress);

  /// Returns the change to propose now, if any. `members` are the current members of the group.
  absl::optional<command> NextChange(absl::Span<const control_member_info> members, uint64_t own_id,
                                     absl::Time now);

  /// Allows the next change at once, because the last one has been made.
  void AllowNextChange() { next_change_time_ = absl::InfinitePast(); }

 private:
  using member_span = absl::Span<const control_member_info>;

  struct timed_contact {
    member_contact contact;
    absl::Time time;
  };

  absl::Time LastContactTime(const control_member_info& member, uint64_t own_id,
                             absl::Time now) const;
  bool IsAlive(const control_member_info& member, uint64_t own_id, absl::Time now) const;
  bool IsDraining(const control_member_info& member) const;
  bool CanRemove(const control_member_info& removed, member_span members, uint64_t own_id,
                 absl::Time now) const;
  absl::optional<command> Plan(member_span members, uint64_t own_id, absl::Time now) const;
  // Each of these returns null if there is no such member.
  //
  // A member whose address is now used by another id, since its data directory was lost.
  const control_member_info* FindMemberWithLostDirectory(member_span members, uint64_t own_id,
                                                         absl::Time now) const;
  // The voter or learner with the longest time since its last contact, if that time is at least
  // `replacement_timeout`.
  const control_member_info* FindUnreachableMember(member_span members, bool voter, uint64_t own_id,
                                                   absl::Time now) const;
  // The voter that has left heartbeats unanswered for the longest time, if that time is at least
  // `silence_timeout`.
  const control_member_info* FindSilentVoter(member_span members) const;
  // Returns null if the leader has sent the member no heartbeat yet.
  const member_progress* FindProgress(uint64_t member_id) const;
  // A learner that is alive and stays, and that has caught up as far as the leader knows. The
  // learners take turns, since a promotion may be refused.
  const control_member_info* FindReadyLearner(member_span members, uint64_t own_id,
                                              absl::Time now) const;
  // The voter that a group with too many voters can best do without.
  const control_member_info* FindSurplusVoter(member_span members, uint64_t own_id,
                                              absl::Time now) const;
  // A member that should no longer be in the group.
  const control_member_info* FindMemberToRemove(member_span members, uint64_t own_id,
                                                absl::Time now) const;
  // True while a voter is missing or leaves.
  bool NeedsVoter(member_span members) const;
  // A spare member that should become a learner.
  const member_contact* FindNewLearner(member_span members, absl::Time now) const;

  const membership_planner_settings settings_;
  absl::Time term_start_ = absl::InfiniteFuture();
  absl::Time next_change_time_ = absl::InfinitePast();
  std::map<uint64_t, timed_contact> contacts_;
  std::map<uint64_t, member_progress> progress_;
  // The learner that was last proposed as a voter.
  uint64_t last_promotion_id_ = 0;
};

}  // namespace teaseljunction
