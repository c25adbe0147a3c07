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
  /// Voters that the group should have. 0 leaves the membership to operators.
  size_t voters = 0;
  /// A member that was heard within this time is alive.
  absl::Duration alive_for = absl::Seconds(2);
  /// A member that was silent for this long is replaced when there is another one.
  absl::Duration lost_after = absl::Seconds(4);
  /// Pause between two changes.
  absl::Duration interval = absl::Milliseconds(100);
};

/// Keeps the control group at its number of voters without an operator. Proposes one change at a
/// time: a member that came back with an empty folder replaces its former self, a member that was
/// silent for long is replaced by one that waits, and a learner becomes a voter once it has caught
/// up. A voter is removed only while the others that are alive keep a majority. Not thread-safe.
class membership_planner {
 public:
  explicit membership_planner(const membership_planner_settings& settings) : settings_(settings) {}

  /// Begins to observe, because this member has become the leader.
  void StartTerm(absl::Time now);

  /// Records that a member with a data folder is alive at `address`.
  void Heard(uint64_t member_id, absl::string_view address, absl::string_view data_centre,
             absl::Time now);

  /// Returns the change to propose now, if there is one. `members` is the current group.
  absl::optional<command> Next(absl::Span<const member_status> members, uint64_t own_id,
                               absl::Time now);

 private:
  struct sighting {
    std::string address;
    std::string data_centre;
    absl::Time when;
  };

  absl::Time LastHeard(const member_status& member, uint64_t own_id, absl::Time now) const;
  bool Alive(const member_status& member, uint64_t own_id, absl::Time now) const;
  bool MayRemove(const member_status& removed, absl::Span<const member_status> members,
                 uint64_t own_id, absl::Time now) const;
  absl::optional<command> Plan(absl::Span<const member_status> members, uint64_t own_id,
                               absl::Time now) const;
  // Returns the member whose folder was lost, because its address now has another id.
  const member_status* FindReplaced(absl::Span<const member_status> members, uint64_t own_id,
                                    absl::Time now) const;
  // Returns the member that was silent for the longest time above the limit.
  const member_status* FindLost(absl::Span<const member_status> members, uint64_t own_id,
                                absl::Time now) const;

  const membership_planner_settings settings_;
  absl::Time term_began_ = absl::InfiniteFuture();
  absl::Time next_change_ = absl::InfinitePast();
  std::map<uint64_t, sighting> heard_;
};

}  // namespace teaseljunction
