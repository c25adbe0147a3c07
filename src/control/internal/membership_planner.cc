#include "control/membership_planner.h"

#include <algorithm>
#include <utility>

namespace teaseljunction {
namespace {

bool IsMember(absl::Span<const control_member_info> members, uint64_t member_id) {
  return std::any_of(
      members.begin(), members.end(),
      [member_id](const control_member_info& member) { return member.member_id == member_id; });
}

size_t CountVoters(absl::Span<const control_member_info> members) {
  return static_cast<size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const control_member_info& member) { return member.voter; }));
}

}  // namespace

void membership_planner::StartTerm(absl::Time now) {
  term_start_ = now;
  contacts_.clear();
  progress_.clear();
}

void membership_planner::RecordContact(member_contact contact, absl::Time now) {
  const uint64_t member_id = contact.member_id;
  contacts_[member_id] = {std::move(contact), now};
}

void membership_planner::RecordProgress(absl::Span<const member_progress> progress) {
  progress_.clear();
  for (const member_progress& member : progress) progress_[member.member_id] = member;
}

const member_progress* membership_planner::FindProgress(uint64_t member_id) const {
  const auto found = progress_.find(member_id);
  return found == progress_.end() ? nullptr : &found->second;
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

bool membership_planner::IsDraining(const control_member_info& member) const {
  const auto found = contacts_.find(member.member_id);
  return found != contacts_.end() && found->second.contact.draining;
}

bool membership_planner::CanRemove(const control_member_info& removed, member_span members,
                                   uint64_t own_id, absl::Time now) const {
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

const control_member_info* membership_planner::FindMemberWithLostDirectory(member_span members,
                                                                           uint64_t own_id,
                                                                           absl::Time now) const {
  for (const control_member_info& member : members) {
    if (member.member_id == own_id) continue;
    const absl::Time last = LastContactTime(member, own_id, now);
    for (const auto& [id, known] : contacts_) {
      if (id != member.member_id && known.contact.address == member.address && known.time > last) {
        return &member;
      }
    }
  }
  return nullptr;
}

const control_member_info* membership_planner::FindUnreachableMember(member_span members,
                                                                     bool voter, uint64_t own_id,
                                                                     absl::Time now) const {
  const control_member_info* unreachable = nullptr;
  for (const control_member_info& member : members) {
    const absl::Time last = LastContactTime(member, own_id, now);
    if (member.voter != voter || now - last < settings_.replacement_timeout) continue;
    if (unreachable == nullptr || last < LastContactTime(*unreachable, own_id, now)) {
      unreachable = &member;
    }
  }
  return unreachable;
}

const control_member_info* membership_planner::FindSilentVoter(member_span members) const {
  const control_member_info* silent = nullptr;
  absl::Duration longest = settings_.silence_timeout;
  for (const control_member_info& member : members) {
    const member_progress* progress = FindProgress(member.member_id);
    if (!member.voter || progress == nullptr || progress->silence < longest) continue;
    longest = progress->silence;
    silent = &member;
  }
  return silent;
}

const control_member_info* membership_planner::FindReadyLearner(member_span members,
                                                                uint64_t own_id,
                                                                absl::Time now) const {
  const control_member_info* first = nullptr;
  for (const control_member_info& member : members) {
    if (member.voter || !IsAlive(member, own_id, now) || IsDraining(member)) continue;
    const member_progress* progress = FindProgress(member.member_id);
    const bool lags = progress != nullptr &&
                      (!progress->caught_up || progress->silence >= settings_.silence_timeout);
    if (lags) continue;
    if (member.member_id > last_promotion_id_) return &member;
    if (first == nullptr) first = &member;
  }
  return first;
}

const control_member_info* membership_planner::FindSurplusVoter(member_span members,
                                                                uint64_t own_id,
                                                                absl::Time now) const {
  const control_member_info* draining = nullptr;
  const control_member_info* other = nullptr;
  for (const control_member_info& member : members) {
    if (!member.voter) continue;
    if (!IsAlive(member, own_id, now)) return &member;
    // A member that this leader has not heard from yet may be draining.
    const bool heard = member.member_id == own_id || contacts_.count(member.member_id) > 0;
    if (!heard) return nullptr;
    if (IsDraining(member)) draining = &member;
    if (member.member_id != own_id) other = &member;
  }
  return draining != nullptr ? draining : other;
}

const control_member_info* membership_planner::FindMemberToRemove(member_span members,
                                                                  uint64_t own_id,
                                                                  absl::Time now) const {
  if (const auto* lost = FindMemberWithLostDirectory(members, own_id, now)) return lost;
  if (const auto* learner = FindUnreachableMember(members, false, own_id, now)) return learner;
  const size_t voters = CountVoters(members);
  if (voters > settings_.desired_voters) return FindSurplusVoter(members, own_id, now);
  const bool replaceable =
      voters == settings_.desired_voters && FindReadyLearner(members, own_id, now) != nullptr;
  if (!replaceable) return nullptr;
  if (const auto* silent = FindSilentVoter(members)) return silent;
  return FindUnreachableMember(members, true, own_id, now);
}

const member_contact* membership_planner::FindNewLearner(member_span members,
                                                         absl::Time now) const {
  const size_t voters = CountVoters(members);
  const size_t missing = settings_.desired_voters - std::min(voters, settings_.desired_voters);
  const size_t learners = members.size() - voters;
  if (learners >= std::max(missing, settings_.max_spare_learners)) return nullptr;
  for (const auto& [id, known] : contacts_) {
    const bool alive = now - known.time <= settings_.alive_timeout;
    if (alive && !known.contact.draining && !IsMember(members, id)) return &known.contact;
  }
  return nullptr;
}

absl::optional<command> membership_planner::Plan(member_span members, uint64_t own_id,
                                                 absl::Time now) const {
  const control_member_info* removed = FindMemberToRemove(members, own_id, now);
  if (removed != nullptr && CanRemove(*removed, members, own_id, now)) {
    return command(remove_member{removed->member_id});
  }
  const control_member_info* learner = FindReadyLearner(members, own_id, now);
  const bool promotes = learner != nullptr && NeedsVoter(members);
  const member_progress* progress = promotes ? FindProgress(learner->member_id) : nullptr;
  if (progress != nullptr && progress->caught_up) {
    return command(promote_learner{learner->member_id});
  }
  // A learner that does not catch up must not keep other spare members out of the group.
  if (const member_contact* added = FindNewLearner(members, now)) {
    return command(add_learner{added->member_id, added->address, added->data_centre});
  }
  if (!promotes) return absl::nullopt;
  return command(promote_learner{learner->member_id});
}

bool membership_planner::NeedsVoter(member_span members) const {
  const size_t voters = CountVoters(members);
  if (voters != settings_.desired_voters) return voters < settings_.desired_voters;
  return std::any_of(members.begin(), members.end(), [this](const control_member_info& member) {
    return member.voter && IsDraining(member);
  });
}

absl::optional<command> membership_planner::NextChange(
    absl::Span<const control_member_info> members, uint64_t own_id, absl::Time now) {
  if (settings_.desired_voters == 0 || now < next_change_time_) return absl::nullopt;
  absl::optional<command> planned = Plan(members, own_id, now);
  if (!planned) return absl::nullopt;
  next_change_time_ = now + settings_.change_interval;
  const auto* promotion = std::get_if<promote_learner>(&*planned);
  if (promotion != nullptr) last_promotion_id_ = promotion->member_id;
  return planned;
}

}  // namespace teaseljunction
