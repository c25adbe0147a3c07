#include "control/membership_planner.h"

#include <algorithm>

namespace teaseljunction {
namespace {

bool IsMember(absl::Span<const control_member_info> members, uint64_t member_id) {
  return std::any_of(
      members.begin(), members.end(),
      [member_id](const control_member_info& member) { return member.member_id == member_id; });
}

}  // namespace

void membership_planner::StartTerm(absl::Time now) {
  term_start_ = now;
  contacts_.clear();
}

void membership_planner::RecordContact(uint64_t member_id, absl::string_view address,
                                       absl::string_view data_centre, absl::Time now) {
  contacts_[member_id] = {std::string(address), std::string(data_centre), now};
}

absl::Time membership_planner::LastContactTime(const control_member_info& member, uint64_t own_id,
                                               absl::Time now) const {
  if (member.member_id == own_id) return now;
  const auto found = contacts_.find(member.member_id);
  // A new leader has had no contacts yet, so the time without contact counts from its election.
  return found == contacts_.end() ? term_start_ : found->second.time;
}

bool membership_planner::IsAlive(const control_member_info& member, uint64_t own_id,
                                 absl::Time now) const {
  return now - LastContactTime(member, own_id, now) <= settings_.alive_timeout;
}

bool membership_planner::CanRemove(const control_member_info& removed,
                                   absl::Span<const control_member_info> members, uint64_t own_id,
                                   absl::Time now) const {
  if (!removed.voter) return true;
  size_t voters = 0;
  size_t alive = 0;
  for (const control_member_info& member : members) {
    if (!member.voter || member.member_id == removed.member_id) continue;
    ++voters;
    if (IsAlive(member, own_id, now)) ++alive;
  }
  return alive * 2 > voters;
}

const control_member_info* membership_planner::FindMemberWithLostDirectory(
    absl::Span<const control_member_info> members, uint64_t own_id, absl::Time now) const {
  for (const control_member_info& member : members) {
    if (member.member_id == own_id) continue;
    const absl::Time last = LastContactTime(member, own_id, now);
    for (const auto& [id, last_contact] : contacts_) {
      if (id != member.member_id && last_contact.address == member.address &&
          last_contact.time > last) {
        return &member;
      }
    }
  }
  return nullptr;
}

const control_member_info* membership_planner::FindUnreachableMember(
    absl::Span<const control_member_info> members, uint64_t own_id, absl::Time now) const {
  const control_member_info* unreachable = nullptr;
  for (const control_member_info& member : members) {
    const absl::Time last = LastContactTime(member, own_id, now);
    if (now - last < settings_.replacement_timeout) continue;
    if (unreachable == nullptr || last < LastContactTime(*unreachable, own_id, now)) {
      unreachable = &member;
    }
  }
  return unreachable;
}

absl::optional<command> membership_planner::Plan(absl::Span<const control_member_info> members,
                                                 uint64_t own_id, absl::Time now) const {
  const control_member_info* replaced = FindMemberWithLostDirectory(members, own_id, now);
  if (replaced != nullptr && CanRemove(*replaced, members, own_id, now)) {
    return command(remove_member{replaced->member_id});
  }
  for (const control_member_info& member : members) {
    if (!member.voter && IsAlive(member, own_id, now))
      return command(promote_learner{member.member_id});
  }
  for (const auto& [id, last_contact] : contacts_) {
    if (now - last_contact.time > settings_.alive_timeout || IsMember(members, id)) continue;
    if (members.size() < settings_.desired_voters) {
      return command(add_learner{id, last_contact.address, last_contact.data_centre});
    }
    const control_member_info* unreachable = FindUnreachableMember(members, own_id, now);
    if (unreachable != nullptr && CanRemove(*unreachable, members, own_id, now)) {
      return command(remove_member{unreachable->member_id});
    }
  }
  return absl::nullopt;
}

absl::optional<command> membership_planner::NextChange(
    absl::Span<const control_member_info> members, uint64_t own_id, absl::Time now) {
  if (settings_.desired_voters == 0 || now < next_change_time_) return absl::nullopt;
  absl::optional<command> planned = Plan(members, own_id, now);
  if (planned) next_change_time_ = now + settings_.change_interval;
  return planned;
}

}  // namespace teaseljunction
