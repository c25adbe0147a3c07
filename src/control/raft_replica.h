#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/random_source.h"
#include "common/result.h"
#include "control/raft_log.h"
#include "control/raft_message.h"
#include "control/types.h"

namespace teaseljunction {

/// Times and limits of a replica. All members of a group use the same values.
struct raft_settings : raft_times {
  /// Largest relative error of a clock's rate.
  double clock_drift = 0.01;
  /// A lost snapshot message is sent again after this time.
  absl::Duration snapshot_retry = absl::Seconds(3);
  uint64_t append_bytes = 1024 * 1024;
  /// Records sent to a member without a response.
  uint64_t in_flight_records = 4096;
  /// Proposals are refused (kOverloaded) while this many records are not committed.
  uint64_t uncommitted_records = 20'000;
  /// Records kept in memory after a snapshot, so that a short absence needs no snapshot.
  uint64_t kept_records = 1000;
  /// Voters that must have stored a record before it is committed, beside the majority. Bounds the
  /// data folders that may be lost at once. All voters when there are fewer.
  uint64_t min_copies = 1;
  /// A learner may be promoted when it is at most this many records behind.
  uint64_t promotion_lag = 64;
};

/// What a replica starts from: the content of its journal.
struct stored_log {
  hard_state state;
  /// Unset as long as the member belongs to no group.
  absl::optional<log_snapshot> snapshot;
  /// Records after the snapshot.
  std::vector<log_record> records;
};

struct outgoing_message {
  std::string address;
  raft_message message;
};

/// The effects of a batch, in the order in which they must be carried out. Nothing may be sent or
/// applied before all of `state`, `installed` and `records` is durable.
struct raft_output {
  /// Set when it changed.
  absl::optional<hard_state> state;
  /// A snapshot from the leader. It replaces the journal together with the records that the replica
  /// still holds after it (`RecordsAfter`), and it replaces the applied state.
  absl::optional<log_snapshot> installed;
  /// Records to append. A record replaces all earlier records with its index or a higher one.
  std::vector<log_record> records;
  std::vector<outgoing_message> messages;
  /// Committed records to apply.
  std::vector<log_record> committed;
};

/// One replica of a log replicated with the Raft algorithm, without I/O. It extends Raft by
/// pre-vote, a leader lease, learners and changes of one member at a time.
///
/// Lease: a follower refuses votes, and does not campaign, for the minimum election timeout after
/// it heard from a leader or was started. The leader's lease counts from the sending of the
/// heartbeats that a quorum has answered, and is shorter. So no other leader can exist during it.
///
/// Not thread-safe. `now` must never go back.
class raft_replica {
 public:
  /// `random` must outlive the replica.
  raft_replica(const raft_settings& settings, stored_log stored, std::string address,
               random_source& random, absl::Time now);

  /// Handles a message. Messages for another member or group are dropped.
  void Step(const raft_message& message, absl::Time now);

  /// Handles timeouts. To be called at `NextTick()` or later.
  void Tick(absl::Time now);
  absl::Time NextTick() const;

  /// Appends a command to the leader's log and returns its index. Errors: kNotLeader; kNoQuorum
  /// when the lease is not held; kOverloaded. After an error the command is not in the log.
  result<uint64_t> Propose(std::string data, absl::Time now);

  /// Appends a membership change and returns its index, or 0 when the configuration is already as
  /// wanted. Errors: as `Propose`; kNoQuorum also while another change is in progress, while the
  /// leader has not committed a record of its term, and when a learner has not caught up;
  /// kNotFound; kMalformedRequest.
  result<uint64_t> ProposeChange(const add_learner& change, absl::Time now);
  result<uint64_t> ProposeChange(const promote& change, absl::Time now);
  result<uint64_t> ProposeChange(const remove_member& change, absl::Time now);

  /// Returns the effects of all calls since the last `TakeOutput`, with the records that the leader
  /// has to replicate.
  raft_output TakeOutput(absl::Time now);

  /// Sends heartbeats with the next output. To be called before work that keeps the leader busy.
  void RenewLease(absl::Time now);

  /// Drops records that a snapshot of the applied state covers. `snapshot.index` must not be above
  /// the last record returned as committed.
  void Compact(const log_snapshot& snapshot);

  std::vector<log_record> RecordsAfter(uint64_t index) const { return log_.RecordsAfter(index); }

  /// Gives the replica the role kFailed, in which it does nothing and never votes. To be called
  /// when its storage failed or is damaged: it may have forgotten a vote or an acknowledged record.
  void Fail();

  member_role Role() const;
  bool IsLeader() const { return role_ == member_role::kLeader; }
  /// Time until which no other member can become leader; absl::InfinitePast() without a lease.
  absl::Time LeaseUntil(absl::Time now) const;
  bool LeaseHeld(absl::Time now) const { return now < LeaseUntil(now); }
  /// Time of this leader's election, or absl::InfiniteFuture().
  absl::Time LeaderSince() const;
  uint64_t LeaderId() const { return leader_id_; }
  /// Empty when the leader is not known.
  const std::string& LeaderAddress() const { return leader_address_; }
  const hard_state& State() const { return state_; }
  uint64_t CommitIndex() const { return commit_index_; }
  uint64_t LastIndex() const { return log_.LastIndex(); }
  uint64_t LastTerm() const { return log_.LastTerm(); }
  /// Bytes of the records in memory.
  uint64_t LogBytes() const { return log_.Bytes(); }
  /// The latest configuration in the log, committed or not.
  const group_configuration& Configuration() const { return log_.Configuration(); }

 private:
  // The leader's view of another member.
  struct peer_progress {
    uint64_t next = 1;
    uint64_t match = 0;
    // Sending time of the latest heartbeat that the member answered.
    absl::Time acknowledged = absl::InfinitePast();
    // After a refusal, records are held back until the matching point is found.
    bool probing = false;
    uint64_t in_flight = 0;
    absl::Time snapshot_sent = absl::InfinitePast();
  };

  // Elections.
  void StartPreVote(absl::Time now);
  void StartVote(absl::Time now);
  void RequestVotes(raft_message_kind kind, uint64_t term);
  void BecomeFollower(uint64_t term, absl::Time now);
  void BecomeLeader(absl::Time now);
  void ResetElectionDeadline(absl::Time now);
  void HandlePreVote(const raft_message& message, absl::Time now);
  void HandleVote(const raft_message& message, absl::Time now);
  void HandleVoteResponse(const raft_message& message, absl::Time now);
  bool RefusesVotes(absl::Time now) const;
  bool IsUpToDate(const raft_message& candidate) const;
  bool HasVoteQuorum() const;

  // Replication at the follower.
  bool FollowLeader(const raft_message& message, absl::Time now);
  void HandleAppend(const raft_message& message, absl::Time now);
  void HandleSnapshot(const raft_message& message, absl::Time now);
  bool AppendFromLeader(const raft_message& message);
  uint64_t RefusalHint(uint64_t refused) const;

  // Replication at the leader.
  void HandleAppendResponse(const raft_message& message, absl::Time now);
  void HandleRefusal(peer_progress& peer, const raft_message& message, absl::Time now);
  uint64_t AppendAsLeader(log_record record, absl::Time now);
  void SendHeartbeats(absl::Time now);
  void SendHeartbeat(const group_member& member, peer_progress& peer, absl::Time now);
  void SendRecords(const group_member& member, peer_progress& peer, absl::Time now);
  void SendSnapshot(const group_member& member, peer_progress& peer, absl::Time now);
  void AdvanceCommit(absl::Time now);
  absl::Time QuorumAcknowledged() const;
  void SyncPeersWithConfiguration();

  result<void> CheckProposal(absl::Time now) const;
  result<void> CheckChange(absl::Time now) const;
  result<uint64_t> AppendConfiguration(group_configuration configuration, absl::Time now);

  raft_message NewMessage(raft_message_kind kind, uint64_t to) const;
  void Send(const std::string& address, raft_message message);
  void Reply(const raft_message& request, raft_message_kind kind, bool accepted, uint64_t log_index,
             uint64_t hint = 0);
  bool IsForThisMember(const raft_message& message) const;
  bool IsVoter() const;
  size_t VoterCount() const;

  raft_settings settings_;
  std::string address_;
  random_source& random_;
  hard_state state_;
  bool state_changed_ = false;
  raft_log log_;
  member_role role_ = member_role::kFollower;
  uint64_t commit_index_ = 0;
  // Last record returned as committed.
  uint64_t returned_index_ = 0;

  uint64_t leader_id_ = 0;
  std::string leader_address_;
  // No vote is given before this time.
  absl::Time vote_barrier_;
  absl::Time election_deadline_;
  // True while a candidate asks whether it would win, before it starts a term.
  bool pre_vote_ = false;
  std::set<uint64_t> votes_;

  absl::Time leader_since_ = absl::InfiniteFuture();
  absl::Time next_heartbeat_;
  // Replicated time at the election.
  absl::Time time_base_;
  uint64_t term_start_index_ = 0;
  std::map<uint64_t, peer_progress> peers_;

  raft_output output_;
};

/// Returns the member with this id, or null.
const group_member* FindMember(const group_configuration& configuration, uint64_t member_id);

}  // namespace teaseljunction
