#include <algorithm>
#include <utility>

#include "control/raft_replica.h"

namespace teaseljunction {
namespace {

// Heartbeats of a new leader that members which have not voted for it are left to answer.
constexpr uint64_t kHeartbeatsToAnswer = 2;

}  // namespace

void raft_replica::ResetElectionDeadline(absl::Time now) {
  const absl::Duration span = settings_.election_timeout_max - settings_.election_timeout_min;
  election_deadline_ = now + settings_.election_timeout_min + span * random_.Fraction();
}

void raft_replica::BecomeFollower(uint64_t term, absl::Time now) {
  if (role_ == member_role::kLeader) {
    // Other threads may have read that the lease is held, so it must expire before this member
    // votes for another leader.
    no_vote_before_ = std::max(no_vote_before_, LeaseUntil(now));
    leader_since_ = absl::InfiniteFuture();
    peers_.clear();
  }
  if (term > state_.term) {
    state_.term = term;
    state_.vote = 0;
    state_changed_ = true;
  }
  role_ = member_role::kFollower;
  pre_vote_ = false;
  leader_id_ = 0;
  leader_address_.clear();
  ResetElectionDeadline(now);
}

void raft_replica::StartPreVote(absl::Time now) {
  role_ = member_role::kCandidate;
  pre_vote_ = true;
  leader_id_ = 0;
  leader_address_.clear();
  votes_ = {state_.member_id};
  ResetElectionDeadline(now);
  if (HasVoteQuorum()) return StartVote(now);
  RequestVotes(raft_message_kind::kPreVote, state_.term + 1);
}

void raft_replica::StartVote(absl::Time now) {
  pre_vote_ = false;
  ++state_.term;
  state_.vote = state_.member_id;
  state_changed_ = true;
  votes_ = {state_.member_id};
  ResetElectionDeadline(now);
  if (HasVoteQuorum()) return BecomeLeader(now);
  RequestVotes(raft_message_kind::kVote, state_.term);
}

void raft_replica::RequestVotes(raft_message_kind kind, uint64_t term) {
  for (const group_member& member : Configuration()) {
    if (!member.voter || member.member_id == state_.member_id) continue;
    raft_message request = NewMessage(kind, member.member_id);
    request.term = term;
    request.log_index = log_.LastIndex();
    request.log_term = log_.LastTerm();
    Send(member.address, std::move(request));
  }
}

bool raft_replica::RefusesVotes(absl::Time now) const {
  return now < no_vote_before_ || HoldsLease(now);
}

bool raft_replica::IsUpToDate(const raft_message& candidate) const {
  if (candidate.log_term != log_.LastTerm()) return candidate.log_term > log_.LastTerm();
  return candidate.log_index >= log_.LastIndex();
}

void raft_replica::HandlePreVote(const raft_message& message, absl::Time now) {
  const bool granted = message.term > state_.term && !RefusesVotes(now) && IsUpToDate(message);
  Reply(message, raft_message_kind::kPreVoteResponse, granted, 0);
  if (granted) output_.messages.back().message.term = message.term;
}

void raft_replica::HandleVote(const raft_message& message, absl::Time now) {
  if (message.term < state_.term) {
    return Reply(message, raft_message_kind::kVoteResponse, false, 0);
  }
  // The term of the candidate is ignored as well: adopting it would depose a leader that holds a
  // quorum.
  if (RefusesVotes(now)) return;
  const bool is_pre_candidate = role_ == member_role::kCandidate && pre_vote_;
  if (message.term > state_.term || is_pre_candidate) BecomeFollower(message.term, now);
  const bool vote_available = state_.vote == 0 || state_.vote == message.from;
  const bool granted = vote_available && IsUpToDate(message) && role_ == member_role::kFollower;
  if (granted) {
    state_.vote = message.from;
    state_changed_ = true;
    ResetElectionDeadline(now);
  }
  Reply(message, raft_message_kind::kVoteResponse, granted, 0);
}

void raft_replica::HandleVoteResponse(const raft_message& message, absl::Time now) {
  if (!message.accepted) {
    if (message.term > state_.term) BecomeFollower(message.term, now);
    return;
  }
  const bool is_pre_vote = message.kind == raft_message_kind::kPreVoteResponse;
  const uint64_t term = is_pre_vote ? state_.term + 1 : state_.term;
  const bool expected =
      role_ == member_role::kCandidate && pre_vote_ == is_pre_vote && message.term == term;
  if (!expected) return;
  votes_.insert(message.from);
  if (!HasVoteQuorum()) return;
  is_pre_vote ? StartVote(now) : BecomeLeader(now);
}

bool raft_replica::HasVoteQuorum() const {
  size_t count = 0;
  for (const group_member& member : Configuration()) {
    if (member.voter && votes_.count(member.member_id) > 0) ++count;
  }
  return count > VoterCount() / 2;
}

void raft_replica::BecomeLeader(absl::Time now) {
  role_ = member_role::kLeader;
  leader_id_ = state_.member_id;
  leader_address_ = address_;
  leader_since_ = now;
  term_start_time_ = log_.LastTime();
  peers_.clear();
  SyncPeersWithConfiguration();
  AssumeSilence();
  // Records of earlier terms are committed only together with one of this term, so the leader
  // appends a no-op record.
  term_start_index_ = log_.LastIndex() + 1;
  AppendAsLeader({}, now);
  SendHeartbeats(now);
}

void raft_replica::AssumeSilence() {
  // The former leader has been silent for the minimum election timeout, and others that have not
  // voted may have ended with it.
  const auto silent =
      static_cast<uint64_t>(settings_.election_timeout_min / settings_.heartbeat_interval);
  for (auto& [member_id, peer] : peers_) {
    if (votes_.count(member_id) > 0) continue;
    peer.unanswered_heartbeats = silent - std::min(silent, kHeartbeatsToAnswer);
  }
}

}  // namespace teaseljunction
