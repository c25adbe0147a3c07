#include "control/membership_planner.h"

#include <algorithm>

namespace teaseljunction {
namespace {

bool IsMember(absl::Span<const member_status> members, uint64_t member_id) {
  return std::any_of(members.begin(), members.end(), [member_id](const member_status& member) {
    return member.member_id == member_id;
  });
}

}  // namespace

void membership_planner::StartTerm(absl::Time now) {
  term_began_ = now;
  heard_.clear();
}

void membership_planner::Heard(uint64_t member_id, absl::string_view address,
                               absl::string_view data_centre, absl::Time now) {
  heard_[member_id] = {std::string(address), std::string(data_centre), now};
}

absl::Time membership_planner::LastHeard(const member_status& member, uint64_t own_id,
                                         absl::Time now) const {
  if (member.member_id == own_id) return now;
  const auto found = heard_.find(member.member_id);
  // A new leader has not heard of anybody yet, which says nothing about them.
  return found == heard_.end() ? term_began_ : found->second.when;
}

bool membership_planner::Alive(const member_status& member, uint64_t own_id, absl::Time now) const {
  return now - LastHeard(member, own_id, now) <= settings_.alive_for;
}

bool membership_planner::MayRemove(const member_status& removed,
                                   absl::Span<const member_status> members, uint64_t own_id,
                                   absl::Time now) const {
  if (!removed.voter) return true;
  size_t voters = 0;
  size_t alive = 0;
  for (const member_status& member : members) {
    if (!member.voter || member.member_id == removed.member_id) continue;
    ++voters;
    if (Alive(member, own_id, now)) ++alive;
  }
  return alive * 2 > voters;
}

const member_status* membership_planner::FindReplaced(absl::Span<const member_status> members,
                                                      uint64_t own_id, absl::Time now) const {
  for (const member_status& member : members) {
    if (member.member_id == own_id) continue;
    const absl::Time last = LastHeard(member, own_id, now);
    for (const auto& [id, seen] : heard_) {
      if (id != member.member_id && seen.address == member.address && seen.when > last) {
        return &member;
      }
    }
  }
  return nullptr;
}

const member_status* membership_planner::FindLost(absl::Span<const member_status> members,
                                                  uint64_t own_id, absl::Time now) const {
  const member_status* lost = nullptr;
  for (const member_status& member : members) {
    const absl::Time last = LastHeard(member, own_id, now);
    if (now - last < settings_.lost_after) continue;
    if (lost == nullptr || last < LastHeard(*lost, own_id, now)) lost = &member;
  }
  return lost;
}

absl::optional<command> membership_planner::Plan(absl::Span<const member_status> members,
                                                 uint64_t own_id, absl::Time now) const {
  const member_status* replaced = FindReplaced(members, own_id, now);
  if (replaced != nullptr && MayRemove(*replaced, members, own_id, now)) {
    return command(remove_member{replaced->member_id});
  }
  for (const member_status& member : members) {
    if (!member.voter && Alive(member, own_id, now)) return command(promote{member.member_id});
  }
  for (const auto& [id, seen] : heard_) {
    if (now - seen.when > settings_.alive_for || IsMember(members, id)) continue;
    if (members.size() < settings_.voters) {
      return command(add_learner{id, seen.address, seen.data_centre});
    }
    const member_status* lost = FindLost(members, own_id, now);
    if (lost != nullptr && MayRemove(*lost, members, own_id, now)) {
      return command(remove_member{lost->member_id});
    }
  }
  return absl::nullopt;
}

absl::optional<command> membership_planner::Next(absl::Span<const member_status> members,
                                                 uint64_t own_id, absl::Time now) {
  if (settings_.voters == 0 || now < next_change_) return absl::nullopt;
  absl::optional<command> planned = Plan(members, own_id, now);
  if (planned) next_change_ = now + settings_.interval;
  return planned;
}

}  // namespace teaseljunction
