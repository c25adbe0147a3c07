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

/// Timing and limits of a replica. All members of a group must use the same values.
struct raft_settings : raft_timing {
  /// Largest relative error of the rate of a member's clock.
  double max_clock_drift = 0.01;
  /// Time after which a snapshot without a response is sent again.
  absl::Duration snapshot_retry_interval = absl::Seconds(3);
  /// Size at which an append message takes no further records, in bytes.
  uint64_t max_append_bytes = 1024 * 1024;
  /// Largest number of records sent to a member without a response.
  uint64_t max_in_flight_records = 4096;
  /// Size of these records at which no more are sent, in bytes.
  uint64_t max_in_flight_bytes = kMaxInFlightBytes;
  /// Proposals fail with kOverloaded while this many records are uncommitted.
  uint64_t max_uncommitted_records = 20'000;
  /// Commands fail with kOverloaded while the uncommitted records have this size, in bytes.
  /// Membership changes are still accepted, since they may be what a commit waits for.
  uint64_t max_uncommitted_bytes = kMaxUncommittedBytes;
  /// Largest number and size in bytes of the records kept in memory after a snapshot, so that a
  /// member that was briefly unreachable can catch up without a snapshot.
  uint64_t retained_records = 1000;
  uint64_t retained_bytes = kRetainedBytes;
  /// Number of voters that must have stored a record before it is committed, or all voters if there
  /// are fewer. A majority is required in any case. This bounds the number of data directories that
  /// may be lost at once.
  uint64_t min_durable_copies = 1;
  /// A learner may be promoted if it is at most this many records behind the leader.
  uint64_t max_promotion_lag = 64;
};

/// The content of the journal, from which a replica starts.
struct stored_log {
  hard_state state;
  /// Unset while the member belongs to no group.
  absl::optional<log_snapshot> snapshot;
  /// Records after the snapshot.
  std::vector<log_record> records;
};

/// A message and the address that it is sent to.
struct outgoing_message {
  std::string address;
  raft_message message;
};

/// The effects of a batch, in the order in which they must be carried out. No message may be sent
/// and no record applied before `state`, `installed_snapshot` and `records` are durable.
struct raft_output {
  /// Set when the state has changed.
  absl::optional<hard_state> state;
  /// A snapshot received from the leader. It replaces the applied state, and together with the
  /// records that follow it (`RecordsAfter`) it replaces the content of the journal.
  absl::optional<log_snapshot> installed_snapshot;
  /// Records to append. A record replaces all earlier records with the same or a higher index.
  std::vector<log_record> records;
  std::vector<outgoing_message> messages;
  /// Committed records to apply.
  std::vector<log_record> committed;
};

/// One replica of a log that is replicated with the Raft algorithm, with pre-vote, leader lease,
/// learners and single-server membership changes. Performs no I/O.
///
/// Lease: a follower grants no votes, and does not campaign, for the minimum election timeout after
/// it was started or received a message from a leader. The leader's lease is shorter and counts
/// from the time at which it sent the heartbeats that a quorum has answered, so no other leader can
/// exist while it lasts.
///
/// Not thread-safe. `now` must never decrease from one call to the next.
class raft_replica {
 public:
  /// `random` must outlive the replica.
  raft_replica(const raft_settings& settings, stored_log stored, std::string address,
               random_source& random, absl::Time now);

  /// Handles a message. Messages for other members or groups are dropped.
  void Step(const raft_message& message, absl::Time now);

  /// Handles timeouts. Must be called at `NextTick()` or later; earlier calls are harmless.
  void Tick(absl::Time now);
  absl::Time NextTick() const;

  /// Appends an encoded command to the log and returns its index. Errors: kNotLeader; kNoQuorum
  /// when the leader does not hold its lease; kOverloaded. After an error the command is not in the
  /// log.
  result<uint64_t> Propose(std::string data, absl::Time now);

  /// Appends a membership change and returns its index, or 0 if the configuration already includes
  /// it. Errors: as `Propose`; kNoQuorum also while another change is uncommitted, while the leader
  /// has not committed a record of its term, when the learner to promote has not caught up or does
  /// not respond, and when the changed group would have no reachable majority; kNotFound;
  /// kMalformedRequest.
  result<uint64_t> ProposeChange(const add_learner& change, absl::Time now);
  result<uint64_t> ProposeChange(const promote_learner& change, absl::Time now);
  result<uint64_t> ProposeChange(const remove_member& change, absl::Time now);

  /// Returns the effects of all calls since the last `TakeOutput`. A leader adds the records and
  /// snapshots that its peers lack.
  raft_output TakeOutput(absl::Time now);

  /// Adds heartbeats to the next output. Called before work that delays the regular heartbeats.
  void RenewLease(absl::Time now);

  /// Drops records that a snapshot of the applied state covers. `snapshot.index` must be at most
  /// the index of the last record returned as committed.
  void Compact(const log_snapshot& snapshot);

  /// Returns copies of the records in memory with an index above `index`.
  std::vector<log_record> RecordsAfter(uint64_t index) const { return log_.RecordsAfter(index); }

  /// Makes a leader or candidate a follower, for example because it cannot store records at
  /// present.
  void StepDown(absl::Time now);

  /// Stops the replica in the role kFailed, in which it never votes. Must be called when its
  /// storage is damaged, since a vote or an acknowledged record may be lost.
  void Fail();

  member_role Role() const;
  bool IsLeader() const { return role_ == member_role::kLeader; }
  /// Time until which no other member can become the leader, or absl::InfinitePast() without a
  /// lease.
  absl::Time LeaseUntil(absl::Time now) const;
  bool HoldsLease(absl::Time now) const { return now < LeaseUntil(now); }
  /// Time of this leader's election, or absl::InfiniteFuture() if this member is not the leader.
  absl::Time LeaderSince() const;
  /// What the leader knows of the other members. Empty if this member is not the leader.
  std::vector<member_progress> Progress() const;
  /// 0 when the leader is unknown.
  uint64_t LeaderId() const { return leader_id_; }
  /// Empty when the leader is unknown.
  const std::string& LeaderAddress() const { return leader_address_; }
  const hard_state& State() const { return state_; }
  uint64_t CommitIndex() const { return commit_index_; }
  uint64_t LastIndex() const { return log_.LastIndex(); }
  uint64_t LastTerm() const { return log_.LastTerm(); }
  /// Size of the records in memory, in bytes.
  uint64_t LogBytes() const { return log_.Bytes(); }
  /// The latest configuration in the log, committed or not.
  const group_configuration& Configuration() const { return log_.Configuration(); }
  /// True if `Configuration()` is known to be committed.
  bool IsConfigurationCommitted() const { return log_.ConfigurationIndex() <= commit_index_; }

 private:
  // The replication progress of another member, as known to the leader.
  struct peer_progress {
    uint64_t next_index = 1;
    uint64_t match_index = 0;
    // Send time of the latest message that the member has answered.
    absl::Time acked_send_time = absl::InfinitePast();
    // True after a rejected append: no records are sent until a matching record is found.
    bool probing = false;
    // The records above this index and below `next_index` were sent and not answered yet.
    uint64_t answered_index = 0;
    absl::Time snapshot_send_time = absl::InfinitePast();
    // Regular heartbeats since the last answer.
    uint64_t unanswered_heartbeats = 0;
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

  // Replication, follower side.
  bool AcceptLeader(const raft_message& message, absl::Time now);
  void HandleAppend(const raft_message& message, absl::Time now);
  void HandleSnapshot(const raft_message& message, absl::Time now);
  bool AppendFromLeader(const raft_message& message);
  uint64_t RejectionHint(uint64_t rejected_index) const;

  // Replication, leader side.
  void HandleAppendResponse(const raft_message& message, absl::Time now);
  void HandleAppendRejection(peer_progress& peer, const raft_message& message, absl::Time now);
  uint64_t AppendAsLeader(log_record record, absl::Time now);
  void SendHeartbeats(absl::Time now);
  void SendHeartbeat(const group_member& member, peer_progress& peer, absl::Time now);
  bool HasRoomInFlight(const peer_progress& peer) const;
  void SendRecords(const group_member& member, peer_progress& peer, absl::Time now);
  void SendSnapshot(const group_member& member, peer_progress& peer, absl::Time now);
  void AdvanceCommit(absl::Time now);
  absl::Time QuorumAckTime() const;
  void SyncPeersWithConfiguration();

  result<void> CheckProposal(absl::Time now) const;
  result<void> CheckChange(absl::Time now) const;
  bool HasRecentContact(const peer_progress& peer, absl::Time now) const;
  bool HasCaughtUp(const peer_progress& peer) const;
  // Treats the members that have not voted for this leader as silent since before its election.
  void AssumeSilence();
  result<uint64_t> AppendConfiguration(group_configuration configuration, absl::Time now);

  raft_message NewMessage(raft_message_kind kind, uint64_t to) const;
  void Send(const std::string& address, raft_message message);
  void Reply(const raft_message& request, raft_message_kind kind, bool accepted, uint64_t log_index,
             uint64_t reject_hint = 0);
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
  // Index of the last record returned as committed.
  uint64_t delivered_index_ = 0;

  uint64_t leader_id_ = 0;
  std::string leader_address_;
  // No vote is granted before this time.
  absl::Time no_vote_before_;
  absl::Time election_deadline_;
  // True while the candidate is in the pre-vote phase, in which it has not increased its term.
  bool pre_vote_ = false;
  std::set<uint64_t> votes_;

  absl::Time leader_since_ = absl::InfiniteFuture();
  absl::Time next_heartbeat_;
  // Replicated time at this leader's election.
  absl::Time term_start_time_;
  uint64_t term_start_index_ = 0;
  std::map<uint64_t, peer_progress> peers_;

  raft_output output_;
};

/// Returns the member with this id, or null if there is none.
const group_member* FindMember(const group_configuration& configuration, uint64_t member_id);

}  // namespace teaseljunction
