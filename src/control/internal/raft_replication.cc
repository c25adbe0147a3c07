#include <algorithm>
#include <utility>
#include <vector>

#include "control/raft_replica.h"

namespace teaseljunction {

bool raft_replica::AcceptLeader(const raft_message& message, absl::Time now) {
  if (message.term < state_.term) {
    // The response makes a leader of an earlier term step down.
    Reply(message, raft_message_kind::kAppendResponse, false, 0);
    return false;
  }
  if (message.term > state_.term || role_ == member_role::kCandidate) {
    BecomeFollower(message.term, now);
  }
  if (role_ != member_role::kFollower) return false;
  if (state_.group_id == 0) {
    state_.group_id = message.group_id;
    state_changed_ = true;
  }
  leader_id_ = message.from;
  leader_address_ = message.from_address;
  no_vote_before_ = std::max(no_vote_before_, now + settings_.election_timeout_min);
  ResetElectionDeadline(now);
  return true;
}

void raft_replica::HandleAppend(const raft_message& message, absl::Time now) {
  if (!AcceptLeader(message, now)) return;
  constexpr raft_message_kind response = raft_message_kind::kAppendResponse;
  const bool lease_only = message.log_index == 0 && message.records.empty();
  if (lease_only) return Reply(message, response, true, 0);
  // Records before the base are covered by a snapshot of committed records, so they match.
  const bool before_base = message.log_index < log_.BaseIndex();
  const bool matches = before_base || log_.TermAt(message.log_index) == message.log_term;
  if (!matches) {
    return Reply(message, response, false, message.log_index, RejectionHint(message.log_index));
  }
  if (!AppendFromLeader(message)) return;
  const uint64_t match_index = message.log_index + message.records.size();
  commit_index_ = std::max(commit_index_, std::min(message.commit_index, match_index));
  Reply(message, response, true, match_index);
}

bool raft_replica::AppendFromLeader(const raft_message& message) {
  uint64_t expected = message.log_index;
  for (const log_record& record : message.records) {
    if (record.index != ++expected) return false;
    if (record.index <= log_.BaseIndex()) continue;
    if (log_.TermAt(record.index) == record.term) continue;
    if (record.index <= commit_index_) {
      // Committed records never change, so either this log or the sender's log is damaged.
      Fail();
      return false;
    }
    log_.Append(record);
    output_.records.push_back(record);
  }
  return true;
}

uint64_t raft_replica::RejectionHint(uint64_t rejected_index) const {
  if (log_.LastIndex() < rejected_index) return log_.LastIndex();
  // Skips all uncommitted records of the conflicting term.
  const absl::optional<uint64_t> term = log_.TermAt(rejected_index);
  uint64_t hint = rejected_index - 1;
  while (hint > commit_index_ && log_.TermAt(hint) == term) --hint;
  return hint;
}

void raft_replica::HandleSnapshot(const raft_message& message, absl::Time now) {
  if (!message.snapshot || !AcceptLeader(message, now)) return;
  const log_snapshot& snapshot = *message.snapshot;
  if (snapshot.index > commit_index_) {
    log_.Install(snapshot);
    commit_index_ = snapshot.index;
    delivered_index_ = snapshot.index;
    output_.installed_snapshot = snapshot;
    output_.records.clear();
    output_.committed.clear();
  }
  Reply(message, raft_message_kind::kAppendResponse, true, commit_index_);
}

void raft_replica::HandleAppendResponse(const raft_message& message, absl::Time now) {
  if (message.term > state_.term) return BecomeFollower(message.term, now);
  if (message.term < state_.term || role_ != member_role::kLeader) return;
  const auto found = peers_.find(message.from);
  if (found == peers_.end()) return;
  peer_progress& peer = found->second;
  peer.acked_send_time = std::max(peer.acked_send_time, std::min(message.send_time, now));
  peer.unanswered_heartbeats = 0;
  if (!message.accepted) return HandleAppendRejection(peer, message, now);
  const bool lease_only = message.log_index == 0;
  if (lease_only || message.log_index > log_.LastIndex()) return;
  peer.probing = false;
  peer.snapshot_send_time = absl::InfinitePast();
  peer.match_index = std::max(peer.match_index, message.log_index);
  peer.next_index = std::max(peer.next_index, peer.match_index + 1);
  peer.answered_index = std::max(peer.answered_index, peer.match_index);
  AdvanceCommit(now);
}

void raft_replica::HandleAppendRejection(peer_progress& peer, const raft_message& message,
                                         absl::Time now) {
  const bool outdated = message.log_index <= peer.match_index ||
                        (peer.probing && message.log_index + 1 != peer.next_index);
  if (outdated) return;
  peer.probing = true;
  peer.answered_index =
      std::max(peer.match_index, std::min(message.reject_hint, message.log_index - 1));
  peer.next_index = peer.answered_index + 1;
  const group_member* member = FindMember(Configuration(), message.from);
  if (member != nullptr) SendHeartbeat(*member, peer, now);
}

uint64_t raft_replica::AppendAsLeader(log_record record, absl::Time now) {
  record.index = log_.LastIndex() + 1;
  record.term = state_.term;
  record.time = std::max(log_.LastTime(), term_start_time_ + (now - leader_since_));
  const uint64_t index = record.index;
  const bool changes_members = record.kind == record_kind::kConfiguration;
  output_.records.push_back(record);
  log_.Append(std::move(record));
  if (changes_members) SyncPeersWithConfiguration();
  // The leader's own copy counts already, since the output is carried out only once the record is
  // durable.
  AdvanceCommit(now);
  return index;
}

void raft_replica::SyncPeersWithConfiguration() {
  std::map<uint64_t, peer_progress> peers;
  for (const group_member& member : Configuration()) {
    if (member.member_id == state_.member_id) continue;
    const auto known = peers_.find(member.member_id);
    peer_progress& peer = peers[member.member_id];
    if (known != peers_.end()) {
      peer = known->second;
    } else {
      peer.answered_index = log_.LastIndex();
      peer.next_index = log_.LastIndex() + 1;
    }
  }
  peers_ = std::move(peers);
}

void raft_replica::RenewLease(absl::Time now) {
  if (role_ == member_role::kLeader) SendHeartbeats(now);
}

void raft_replica::SendHeartbeats(absl::Time now) {
  next_heartbeat_ = now + settings_.heartbeat_interval;
  for (const group_member& member : Configuration()) {
    const auto peer = peers_.find(member.member_id);
    if (peer == peers_.end()) continue;
    ++peer->second.unanswered_heartbeats;
    SendHeartbeat(member, peer->second, now);
  }
}

void raft_replica::SendHeartbeat(const group_member& member, peer_progress& peer, absl::Time now) {
  raft_message message = NewMessage(raft_message_kind::kAppend, member.member_id);
  message.send_time = now;
  message.commit_index = commit_index_;
  const absl::optional<uint64_t> term = log_.TermAt(peer.next_index - 1);
  if (term) {
    message.log_index = peer.next_index - 1;
    message.log_term = *term;
  }
  Send(member.address, std::move(message));
}

bool raft_replica::HasRoomInFlight(const peer_progress& peer) const {
  const uint64_t last_sent = peer.next_index - 1;
  return last_sent - peer.answered_index < settings_.max_in_flight_records &&
         log_.BytesBetween(peer.answered_index, last_sent) < settings_.max_in_flight_bytes;
}

void raft_replica::SendRecords(const group_member& member, peer_progress& peer, absl::Time now) {
  if (!log_.TermAt(peer.next_index - 1)) return SendSnapshot(member, peer, now);
  while (!peer.probing && peer.next_index <= log_.LastIndex() && HasRoomInFlight(peer)) {
    raft_message message = NewMessage(raft_message_kind::kAppend, member.member_id);
    message.send_time = now;
    message.commit_index = commit_index_;
    message.log_index = peer.next_index - 1;
    message.log_term = *log_.TermAt(peer.next_index - 1);
    uint64_t bytes = 0;
    while (peer.next_index <= log_.LastIndex() && bytes < settings_.max_append_bytes) {
      message.records.push_back(log_.At(peer.next_index));
      bytes += sizeof(log_record) + message.records.back().data.size();
      ++peer.next_index;
    }
    Send(member.address, std::move(message));
  }
}

void raft_replica::SendSnapshot(const group_member& member, peer_progress& peer, absl::Time now) {
  if (now - peer.snapshot_send_time < settings_.snapshot_retry_interval || !log_.Snapshot()) return;
  peer.snapshot_send_time = now;
  raft_message message = NewMessage(raft_message_kind::kSnapshot, member.member_id);
  message.send_time = now;
  message.snapshot = log_.Snapshot();
  Send(member.address, std::move(message));
}

absl::Time raft_replica::QuorumAckTime() const {
  std::vector<absl::Time> times;
  for (const group_member& member : Configuration()) {
    if (!member.voter) continue;
    const auto peer = peers_.find(member.member_id);
    times.push_back(peer == peers_.end() ? absl::InfiniteFuture() : peer->second.acked_send_time);
  }
  if (times.empty()) return absl::InfinitePast();
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[times.size() / 2];
}

void raft_replica::AdvanceCommit(absl::Time now) {
  std::vector<uint64_t> match_indexes;
  for (const group_member& member : Configuration()) {
    if (!member.voter) continue;
    const auto peer = peers_.find(member.member_id);
    match_indexes.push_back(peer == peers_.end() ? log_.LastIndex() : peer->second.match_index);
  }
  if (match_indexes.empty()) return;
  std::sort(match_indexes.begin(), match_indexes.end(), std::greater<>());
  const uint64_t copies = std::min<uint64_t>(settings_.min_durable_copies, match_indexes.size());
  const uint64_t index = match_indexes[std::max<uint64_t>(match_indexes.size() / 2, copies - 1)];
  // Records of earlier terms are committed only together with one of this term.
  if (index <= commit_index_ || log_.TermAt(index) != state_.term) return;
  commit_index_ = index;
  const bool removed = commit_index_ >= log_.ConfigurationIndex() && !IsVoter();
  if (removed) BecomeFollower(state_.term, now);
}

}  // namespace teaseljunction
