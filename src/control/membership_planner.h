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
  /// Minimum time between two changes.
  absl::Duration change_interval = absl::Milliseconds(100);
};

/// Keeps the control group at the desired number of voters without an operator. Plans one change at
/// a time: a member that restarted with an empty directory replaces its former id, a member without
/// contact for too long is replaced by a spare member, and a learner is promoted once it has caught
/// up. A voter is removed only if a majority of the remaining voters is alive. Not thread-safe.
class membership_planner {
 public:
  explicit membership_planner(const membership_planner_settings& settings) : settings_(settings) {}

  /// Starts a term of this member as the leader, and forgets all earlier contacts.
  void StartTerm(absl::Time now);

  /// Records a contact with a member: it has a data directory and is alive at `address`.
  void RecordContact(uint64_t member_id, absl::string_view address, absl::string_view data_centre,
                     absl::Time now);

  /// Returns the change to propose now, if any. `members` are the current members of the group.
  absl::optional<command> NextChange(absl::Span<const control_member_info> members, uint64_t own_id,
                                     absl::Time now);

 private:
  struct member_contact {
    std::string address;
    std::string data_centre;
    absl::Time time;
  };

  absl::Time LastContactTime(const control_member_info& member, uint64_t own_id,
                             absl::Time now) const;
  bool IsAlive(const control_member_info& member, uint64_t own_id, absl::Time now) const;
  bool CanRemove(const control_member_info& removed, absl::Span<const control_member_info> members,
                 uint64_t own_id, absl::Time now) const;
  absl::optional<command> Plan(absl::Span<const control_member_info> members, uint64_t own_id,
                               absl::Time now) const;
  // Returns a member whose address is now used by another id, since its data directory was lost; or
  // null.
  const control_member_info* FindMemberWithLostDirectory(
      absl::Span<const control_member_info> members, uint64_t own_id, absl::Time now) const;
  // Returns the member with the longest time since its last contact, if that time is at least
  // `replacement_timeout`; otherwise null.
  const control_member_info* FindUnreachableMember(absl::Span<const control_member_info> members,
                                                   uint64_t own_id, absl::Time now) const;

  const membership_planner_settings settings_;
  absl::Time term_start_ = absl::InfiniteFuture();
  absl::Time next_change_time_ = absl::InfinitePast();
  std::map<uint64_t, member_contact> contacts_;
};

}  // namespace teaseljunction
