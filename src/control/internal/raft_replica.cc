#include "control/raft_replica.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace teaseljunction {

const group_member* FindMember(const group_configuration& configuration, uint64_t member_id) {
  for (const group_member& member : configuration) {
    if (member.member_id == member_id) return &member;
  }
  return nullptr;
}

raft_replica::raft_replica(const raft_settings& settings, stored_log stored, std::string address,
                           random_source& random, absl::Time now)
    : settings_(settings),
      address_(std::move(address)),
      random_(random),
      state_(std::move(stored.state)),
      log_(std::move(stored.snapshot), std::move(stored.records)),
      // Before its restart the member may have acknowledged a leader whose lease has not expired.
      no_vote_before_(now + settings.election_timeout_min) {
  // The lease must expire before the followers may vote again, also when the leader's clock is slow
  // and a follower's clock is fast.
  if (settings_.leader_lease * (1 + settings_.max_clock_drift) >=
      settings_.election_timeout_min * (1 - settings_.max_clock_drift)) {
    std::abort();
  }
  if (log_.Snapshot()) commit_index_ = log_.Snapshot()->index;
  delivered_index_ = commit_index_;
  ResetElectionDeadline(now);
}

void raft_replica::Step(const raft_message& message, absl::Time now) {
  if (role_ == member_role::kFailed || !IsForThisMember(message)) return;
  switch (message.kind) {
    case raft_message_kind::kPreVote:
      return HandlePreVote(message, now);
    case raft_message_kind::kVote:
      return HandleVote(message, now);
    case raft_message_kind::kPreVoteResponse:
    case raft_message_kind::kVoteResponse:
      return HandleVoteResponse(message, now);
    case raft_message_kind::kAppend:
      return HandleAppend(message, now);
    case raft_message_kind::kSnapshot:
      return HandleSnapshot(message, now);
    case raft_message_kind::kAppendResponse:
      return HandleAppendResponse(message, now);
  }
}

bool raft_replica::IsForThisMember(const raft_message& message) const {
  if (message.to != state_.member_id || message.from == state_.member_id) return false;
  if (message.group_id == 0) return false;
  if (state_.group_id != 0) return message.group_id == state_.group_id;
  // A new member joins the group whose leader addresses it by its id, unless it has agreed to the
  // initial voters of a new group.
  const bool from_leader =
      message.kind == raft_message_kind::kAppend || message.kind == raft_message_kind::kSnapshot;
  return from_leader && state_.initial_voters.empty();
}

void raft_replica::Tick(absl::Time now) {
  if (role_ == member_role::kFailed) return;
  if (role_ != member_role::kLeader) {
    if (now >= election_deadline_ && IsVoter()) StartPreVote(now);
    return;
  }
  const absl::Time last_quorum_contact = std::max(QuorumAckTime(), leader_since_);
  if (now - last_quorum_contact > settings_.election_timeout_max) {
    // Without a quorum the leader cannot commit, and its heartbeats may keep members from electing
    // another leader when their responses do not arrive.
    BecomeFollower(state_.term, now);
    return;
  }
  if (now >= next_heartbeat_) SendHeartbeats(now);
}

absl::Time raft_replica::NextTick() const {
  if (role_ == member_role::kLeader) return next_heartbeat_;
  if (role_ == member_role::kFailed || !IsVoter()) return absl::InfiniteFuture();
  return election_deadline_;
}

result<void> raft_replica::CheckProposal(absl::Time now) const {
  if (role_ != member_role::kLeader) return teaseljunction::Fail(error_kind::kNotLeader);
  if (!HoldsLease(now)) {
    return teaseljunction::Fail(error_kind::kNoQuorum, "The leader has no current quorum.");
  }
  if (log_.LastIndex() - commit_index_ >= settings_.max_uncommitted_records) {
    return teaseljunction::Fail(error_kind::kOverloaded, "Too many commands wait for commit.");
  }
  return {};
}

result<uint64_t> raft_replica::Propose(std::string data, absl::Time now) {
  BOOST_LEAF_CHECK(CheckProposal(now));
  if (log_.BytesBetween(commit_index_, log_.LastIndex()) >= settings_.max_uncommitted_bytes) {
    return teaseljunction::Fail(error_kind::kOverloaded,
                                "The commands that wait for commit are too large.");
  }
  log_record record;
  record.kind = record_kind::kCommand;
  record.data = std::move(data);
  return AppendAsLeader(std::move(record), now);
}

result<void> raft_replica::CheckChange(absl::Time now) const {
  BOOST_LEAF_CHECK(CheckProposal(now));
  // Two concurrent changes, or a change on top of an uncommitted one of an earlier leader, could
  // result in two disjoint majorities. The lease implies that a record of this term is committed.
  if (log_.ConfigurationIndex() > commit_index_) {
    return teaseljunction::Fail(error_kind::kNoQuorum, "Another membership change is in progress.");
  }
  return {};
}

result<uint64_t> raft_replica::ProposeChange(const add_learner& change, absl::Time now) {
  BOOST_LEAF_CHECK(CheckChange(now));
  if (change.member_id == 0 || change.address.empty()) {
    return teaseljunction::Fail(error_kind::kMalformedRequest,
                                "A learner needs a member id and an address.");
  }
  if (const group_member* existing = FindMember(Configuration(), change.member_id)) {
    if (existing->address == change.address) return 0;
    return teaseljunction::Fail(error_kind::kMalformedRequest,
                                "The member is in the group with another address.");
  }
  group_configuration next = Configuration();
  next.push_back({change.member_id, change.address, change.data_centre, false});
  return AppendConfiguration(std::move(next), now);
}

result<uint64_t> raft_replica::ProposeChange(const promote_learner& change, absl::Time now) {
  BOOST_LEAF_CHECK(CheckChange(now));
  const group_member* existing = FindMember(Configuration(), change.member_id);
  if (existing == nullptr) return teaseljunction::Fail(error_kind::kNotFound, "Unknown member id.");
  if (existing->voter) return 0;
  const auto peer = peers_.find(change.member_id);
  const bool ready =
      peer != peers_.end() && HasRecentContact(peer->second, now) && HasCaughtUp(peer->second);
  if (!ready) {
    return teaseljunction::Fail(error_kind::kNoQuorum, "The learner has not caught up yet.");
  }
  group_configuration next = Configuration();
  for (group_member& member : next) {
    if (member.member_id == change.member_id) member.voter = true;
  }
  return AppendConfiguration(std::move(next), now);
}

result<uint64_t> raft_replica::ProposeChange(const remove_member& change, absl::Time now) {
  BOOST_LEAF_CHECK(CheckChange(now));
  group_configuration next = Configuration();
  const auto removed = std::remove_if(next.begin(), next.end(), [&](const group_member& member) {
    return member.member_id == change.member_id;
  });
  if (removed == next.end()) {
    return teaseljunction::Fail(error_kind::kNotFound, "Unknown member id.");
  }
  next.erase(removed, next.end());
  return AppendConfiguration(std::move(next), now);
}

bool raft_replica::HasRecentContact(const peer_progress& peer, absl::Time now) const {
  return now - peer.acked_send_time <= settings_.election_timeout_max;
}

bool raft_replica::HasCaughtUp(const peer_progress& peer) const {
  return peer.match_index + settings_.max_promotion_lag >= log_.LastIndex();
}

std::vector<member_progress> raft_replica::Progress() const {
  std::vector<member_progress> progress;
  if (role_ != member_role::kLeader) return progress;
  progress.reserve(peers_.size());
  for (const auto& [member_id, peer] : peers_) {
    progress.push_back(
        {member_id, settings_.heartbeat_interval * peer.unanswered_heartbeats, HasCaughtUp(peer)});
  }
  return progress;
}

result<uint64_t> raft_replica::AppendConfiguration(group_configuration configuration,
                                                   absl::Time now) {
  size_t voters = 0;
  size_t reachable = 0;
  for (const group_member& member : configuration) {
    if (!member.voter) continue;
    ++voters;
    const auto peer = peers_.find(member.member_id);
    const bool recent = peer != peers_.end() && HasRecentContact(peer->second, now);
    if (member.member_id == state_.member_id || recent) ++reachable;
  }
  if (voters == 0) {
    return teaseljunction::Fail(error_kind::kMalformedRequest, "The last voter cannot be removed.");
  }
  if (reachable <= voters / 2) {
    return teaseljunction::Fail(error_kind::kNoQuorum,
                                "The changed group would have no reachable majority.");
  }
  std::sort(configuration.begin(), configuration.end(),
            [](const group_member& a, const group_member& b) { return a.member_id < b.member_id; });
  log_record record;
  record.kind = record_kind::kConfiguration;
  record.configuration = std::move(configuration);
  return AppendAsLeader(std::move(record), now);
}

raft_output raft_replica::TakeOutput(absl::Time now) {
  if (role_ == member_role::kLeader) {
    for (const group_member& member : Configuration()) {
      const auto peer = peers_.find(member.member_id);
      if (peer != peers_.end()) SendRecords(member, peer->second, now);
    }
  }
  if (state_changed_) output_.state = state_;
  state_changed_ = false;
  while (delivered_index_ < commit_index_) {
    ++delivered_index_;
    output_.committed.push_back(log_.At(delivered_index_));
  }
  return std::exchange(output_, {});
}

void raft_replica::Compact(const log_snapshot& snapshot) {
  log_.Compact(snapshot, settings_.retained_records, settings_.retained_bytes);
}

void raft_replica::StepDown(absl::Time now) {
  const bool is_active = role_ == member_role::kLeader || role_ == member_role::kCandidate;
  if (is_active) BecomeFollower(state_.term, now);
}

void raft_replica::Fail() {
  role_ = member_role::kFailed;
  leader_since_ = absl::InfiniteFuture();
  output_ = {};
  state_changed_ = false;
  delivered_index_ = commit_index_;
}

member_role raft_replica::Role() const {
  if (role_ == member_role::kFollower && !IsVoter()) return member_role::kLearner;
  return role_;
}

absl::Time raft_replica::LeaseUntil(absl::Time now) const {
  // Until it has committed a record of its own term, a leader may not know which records are
  // committed.
  if (role_ != member_role::kLeader || commit_index_ < term_start_index_) {
    return absl::InfinitePast();
  }
  return std::min(QuorumAckTime(), now) + settings_.leader_lease;
}

absl::Time raft_replica::LeaderSince() const { return leader_since_; }

raft_message raft_replica::NewMessage(raft_message_kind kind, uint64_t to) const {
  raft_message message;
  message.kind = kind;
  message.group_id = state_.group_id;
  message.from = state_.member_id;
  message.to = to;
  message.from_address = address_;
  message.term = state_.term;
  return message;
}

void raft_replica::Send(const std::string& address, raft_message message) {
  output_.messages.push_back({address, std::move(message)});
}

void raft_replica::Reply(const raft_message& request, raft_message_kind kind, bool accepted,
                         uint64_t log_index, uint64_t reject_hint) {
  raft_message response = NewMessage(kind, request.from);
  response.accepted = accepted;
  response.log_index = log_index;
  response.reject_hint = reject_hint;
  response.send_time = request.send_time;
  Send(request.from_address, std::move(response));
}

bool raft_replica::IsVoter() const {
  const group_member* self = FindMember(Configuration(), state_.member_id);
  return self != nullptr && self->voter;
}

size_t raft_replica::VoterCount() const {
  return static_cast<size_t>(
      std::count_if(Configuration().begin(), Configuration().end(),
                    [](const group_member& member) { return member.voter; }));
}

}  // namespace teaseljunction
