#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/clock_source.h"
#include "common/random_source.h"
#include "common/result.h"
#include "control/replicated_state.h"
#include "control/types.h"
#include "rpc/types.h"

namespace teaseljunction {

class file_system;

/// Interface that sends encoded messages to other control members.
class raft_transport {
 public:
  virtual ~raft_transport() = default;

  /// Sends a message to the member at `address` ("IP:port"). Must not block; lost messages are not
  /// reported. Called only on the control thread.
  virtual void Send(absl::string_view address, std::string message) = 0;
};

/// Interface that is notified of changes. Methods are called in order on the control thread and
/// must not block or destroy the member.
class control_observer {
 public:
  virtual ~control_observer() = default;

  /// This member became the leader, or is no longer the leader, as of `since`. Leases that the
  /// previous leader granted are not replicated: a new leader must assume that they last for the
  /// longest lifetime that can be granted, counted from `since`.
  virtual void OnLeadershipChange(bool leader, absl::Time since) = 0;

  /// This member, as the leader, has sent its regular heartbeats.
  virtual void OnHeartbeat() {}

  /// A manifest was applied, or was loaded from a snapshot.
  virtual void OnManifestApplied(std::shared_ptr<const manifest_record> manifest) = 0;
};

/// State of a control member, as shown to operators.
struct control_status {
  /// Id of this member. An operator passes it to `add_learner` and `promote_learner` when the
  /// member replaces another one.
  uint64_t member_id = 0;
  /// 0 while the member belongs to no group.
  uint64_t group_id = 0;
  member_role role = member_role::kLearner;
  uint64_t term = 0;
  uint64_t commit_index = 0;
  uint64_t applied_index = 0;
  /// Empty when the leader is unknown.
  std::string leader_address;
  /// All members of the group. A member without a group lists only itself.
  std::vector<control_member_info> members;
  /// False while it is unknown whether the last change of `members` is committed.
  bool members_committed = true;
  /// What the leader knows of the other members. Empty at members that do not lead.
  std::vector<member_progress> progress;
  /// Set when `role` is kFailed, and while the disk refuses writes.
  error failure;
};

/// One member of the control group: a replica of the log, its journal and the replicated state, run
/// by a thread of its own. Thread-safe. The destructor stops the thread; pending proposals then
/// fail with kCommitUnknown.
///
/// Messages and proposals are processed in batches. All changes of a batch are made durable with
/// one sync; only then are messages sent, records applied and completions called.
///
/// Identity and bootstrap. A member's id is random and bound to its data directory. A member with
/// an empty directory first stores a new id and then exchanges ids with all addresses in
/// `initial_voter_addresses`. A new group starts in two steps: once every listed member has
/// announced an id and no group, the member stores the list of ids; once every listed member has
/// announced that it has stored the same list, the group starts with these voters. The stored list
/// never changes, so no id takes part in two groups. Once a listed peer reports a group, a member
/// that has stored no list does not bootstrap; it waits in the role kLearner. If a data directory
/// is lost between the two steps, the bootstrap does not complete, and the operator has to empty
/// the directories of the listed members.
///
/// Replacement. A member that has lost its data directory is a new member with a new id. It logs
/// the id and reports it in `Status().member_id` and as the only entry of `members`. The operator
/// proposes `add_learner` with that id, then `promote_learner`, which the leader refuses until the
/// learner has caught up, and finally `remove_member` with the former id.
///
/// Storage. While the disk refuses writes, a member neither leads, votes, acknowledges nor applies
/// records; it repeats the refused write until it succeeds, and then goes on. A member whose
/// journal is damaged stops at once in the role kFailed and has to be replaced.
class control_member {
 public:
  virtual ~control_member() = default;

  /// Queues an encoded message from another member. Messages that cannot be decoded, and messages
  /// that exceed the queue's limits, are dropped.
  virtual void Receive(std::string message) = 0;

  /// Proposes a command. The completion is called exactly once, on the control thread or within
  /// this call, and must not block. Errors, given in `propose_response::result`:
  /// - kNotLeader: this member is not the leader. `from_leader` is false and `leader_address` names
  ///   the leader if it is known. The command is not in the log.
  /// - kNoQuorum: the leader has no quorum, or a membership change is not possible yet; the detail
  ///   text says why. The command is not in the log.
  /// - kNotFound, kMalformedRequest: an invalid membership change. The command is not in the log.
  /// - kOverloaded: too many proposals are queued or uncommitted. kBodyTooLarge: the command is too
  ///   large. In both cases the command is not in the log.
  /// - kCommitUnknown: the proposal timeout passed, or leadership was lost, before the command was
  ///   known to be committed. It may still be committed later.
  /// - The errors of `replicated_state::Apply`: the command is committed, but was refused.
  virtual void Propose(command proposal, absl::AnyInvocable<void(propose_response)> completion) = 0;

  virtual control_status Status() const = 0;

  /// True if this member was the leader after its last batch. Decisions must use `HoldsLease`.
  virtual bool IsLeader() const = 0;

  /// True if no other member can be the leader at `now` and all commands accepted before are
  /// applied here. Must be called before each use, with the current time of the member's clock.
  virtual bool HoldsLease(absl::Time now) const = 0;

  /// Time at which this member became the leader, or absl::InfiniteFuture() if it is not the
  /// leader.
  virtual absl::Time LeaderSince() const = 0;

  /// Address of the leader, or empty if it is unknown.
  virtual std::string LeaderAddress() const = 0;

  /// The latest manifest applied at this member. Never null; version 0 means that there is none.
  virtual std::shared_ptr<const manifest_record> CurrentManifest() const = 0;

  /// Quarantined fingerprints from position `from` on, in the order in which they were added. The
  /// list only grows.
  virtual std::vector<std::string> QuarantinedFrom(uint64_t from) const = 0;
};

/// Settings of a control member.
struct control_member_settings {
  /// RPC address of this member, "IP:port".
  std::string address;
  std::string data_centre;
  /// Addresses of all initial voters, this member included. Used only while the member belongs to
  /// no group. Empty on a member that only joins an existing group as a learner.
  std::vector<std::string> initial_voter_addresses;
  /// Directory of the journal. It is created if it is missing, and locked against other processes.
  std::string data_directory;
  /// Time after which a proposal fails with kCommitUnknown.
  absl::Duration proposal_timeout = absl::Seconds(2);
  /// A snapshot is taken when the log has grown by this many records, or by this many bytes and by
  /// at least the size of the last snapshot.
  uint64_t snapshot_after_records = 10'000;
  uint64_t snapshot_after_bytes = kSnapshotAfterBytes;
  /// Largest number and size in bytes of the records kept in memory after a snapshot, so that a
  /// member that was briefly unreachable can catch up without a snapshot.
  uint64_t retained_records = 1000;
  uint64_t retained_bytes = kRetainedBytes;
  /// Number of voters that must have stored a record before it is committed. A majority is required
  /// in any case.
  uint64_t min_durable_copies = 1;
  raft_timing timing;
  replicated_state_limits limits;
};

/// Builds a control member. All objects passed by reference must outlive it.
class control_member_builder {
 public:
  control_member_builder& WithSettings(control_member_settings settings);
  control_member_builder& WithClock(const clock_source& clock);
  control_member_builder& WithRandom(random_source& random);
  control_member_builder& WithTransport(raft_transport& transport);
  /// Optional.
  control_member_builder& WithObserver(control_observer& observer);
  /// Optional; the default is the file system of the operating system.
  control_member_builder& WithFileSystem(file_system& files);

  /// Loads the journal and starts the member. Errors: kSettingInvalid; kStorageFailed when the data
  /// directory cannot be created, locked or read; a full disk is no error. If the journal
  /// is damaged, the member is returned in the role kFailed.
  result<std::unique_ptr<control_member>> Build();

 private:
  control_member_settings settings_;
  const clock_source* clock_ = nullptr;
  random_source* random_ = nullptr;
  raft_transport* transport_ = nullptr;
  control_observer* observer_ = nullptr;
  file_system* files_ = nullptr;
};

}  // namespace teaseljunction
