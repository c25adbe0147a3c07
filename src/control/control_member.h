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

/// Port that carries encoded messages to other control members.
class raft_transport {
 public:
  virtual ~raft_transport() = default;

  /// Sends a message to the member at `address` ("IP:port"). Returns at once; lost messages are not
  /// reported. Called from the control thread only.
  virtual void Send(absl::string_view address, std::string message) = 0;
};

/// Port that learns of changes. Methods run on the control thread, in order, and must not block or
/// destroy the member.
class control_observer {
 public:
  virtual ~control_observer() = default;

  /// This member became the leader or stopped being it. `since` is the time of the change. Volatile
  /// leases of the previous leader may be assumed to have ended only after the longest lifetime
  /// that it could have granted, counted from `since`.
  virtual void OnLeadership(bool leader, absl::Time since) = 0;

  /// A manifest was applied, or loaded from a snapshot.
  virtual void OnManifest(std::shared_ptr<const manifest_record> manifest) = 0;
};

/// State of a control member for operators.
struct control_status {
  /// Id of this member. An operator passes it to `add_learner` and `promote` when the member
  /// replaces another one.
  uint64_t member_id = 0;
  /// 0 as long as the member belongs to no group.
  uint64_t group_id = 0;
  member_role role = member_role::kLearner;
  uint64_t term = 0;
  uint64_t commit_index = 0;
  uint64_t applied_index = 0;
  /// Empty when the leader is not known.
  std::string leader_address;
  /// All members of the group. A member without a group lists only itself.
  std::vector<member_status> members;
  /// Set when `role` is kFailed.
  error failure;
};

/// One member of the control group: a replica of the log, its journal and the state derived from
/// it, on an own thread. Thread-safe. The destructor stops the thread; outstanding proposals then
/// end with kCommitUnknown.
///
/// A batch of messages and proposals is processed at a time. Everything that it changes is written
/// with one sync; only then are messages sent, records applied and completions run.
///
/// Identity and bootstrap. A member's id is random and bound to its data folder. A member whose
/// folder is empty first stores a new id and then exchanges ids with all addresses of
/// `initial_peers`. It starts a new group only in two steps: once every listed member has
/// announced an id and no group, it stores the list of ids it has agreed to; once every listed
/// member has announced that it has stored the same list, the group starts with these voters. The
/// stored list never changes, so no id takes part in two groups. As soon as a listed peer reports
/// that it belongs to a group, a member that has agreed to no list never bootstraps; it waits with
/// the role kLearner. If a folder is lost between the two steps, the bootstrap does not finish; the
/// operator then empties the folders of the listed members.
///
/// Replacement. A member that lost its folder is a new member with a new id. It logs this id and
/// shows it in `Status().member_id` (and as the only entry of `members`). The operator proposes
/// `add_learner` with that id, then `promote`, which the leader refuses until the learner has
/// caught up, and `remove_member` for the lost id.
///
/// Storage. A member whose journal is damaged, or that fails to write or sync, stops at once with
/// the role kFailed: it neither votes nor acknowledges records, and has to be replaced.
class control_member {
 public:
  virtual ~control_member() = default;

  /// Takes a message from another member. Messages that do not decode are dropped, and so are
  /// messages above the queue's limit.
  virtual void Receive(std::string message) = 0;

  /// Proposes a command. The completion runs exactly once, on the control thread or within this
  /// call, and must not block.
  /// - Not the leader: `from_leader` is false, with the leader's address when it is known
  ///   (`failure` is kNotLeader). The command was certainly not accepted.
  /// - Leader without a quorum: kNoQuorum. Queue full: kOverloaded. Too large: kBodyTooLarge. The
  ///   command was certainly not accepted. A membership change that is not possible yet is also
  ///   refused with kNoQuorum and a detail text.
  /// - Not known to be committed within the proposal timeout or before leadership was lost:
  ///   kCommitUnknown.
  virtual void Propose(command proposal, absl::AnyInvocable<void(propose_response)> completion) = 0;

  virtual control_status Status() const = 0;

  /// True when this member was the leader after its last batch. Use `LeaseHeld` for decisions.
  virtual bool IsLeader() const = 0;

  /// True when no other member can be the leader at `now`, and all commands accepted before are
  /// applied here. Must be checked at each use, with the current time of the member's clock.
  virtual bool LeaseHeld(absl::Time now) const = 0;

  /// Time at which this member became the leader, or absl::InfiniteFuture() when it is not.
  virtual absl::Time LeaderSince() const = 0;

  /// Address of the leader, or empty when it is not known.
  virtual std::string LeaderAddress() const = 0;

  /// The manifest in force here. Never null; version 0 means that there is none.
  virtual std::shared_ptr<const manifest_record> Manifest() const = 0;

  /// Quarantined fingerprints from position `from` on. The list only grows.
  virtual std::vector<std::string> Quarantined(uint64_t from) const = 0;
};

/// Settings of a control member.
struct control_member_settings {
  /// RPC address of this member, "IP:port".
  std::string address;
  std::string data_centre;
  /// Addresses of all initial voters, this member included. Used only while the folder belongs to
  /// no group. May be empty on a member that only joins as a learner.
  std::vector<std::string> initial_peers;
  /// Folder of the journal. It is created when missing and locked against a second process.
  std::string data_folder;
  /// Time after which a proposal ends with kCommitUnknown.
  absl::Duration proposal_timeout = absl::Seconds(2);
  /// A snapshot is taken when the log has grown by this many records, or by this many bytes and at
  /// least the size of the last snapshot.
  uint64_t snapshot_records = 10'000;
  uint64_t snapshot_bytes = 8 * 1024 * 1024;
  /// Records kept in memory after a snapshot, so that a short absence of a member needs none.
  uint64_t kept_records = 1000;
  /// Voters that must have stored a record before it is committed, beside the majority.
  uint64_t min_copies = 1;
  raft_times times;
  replicated_state_limits limits;
};

/// Builds a control member. All ports must outlive it.
class control_member_builder {
 public:
  control_member_builder& WithSettings(control_member_settings settings);
  control_member_builder& WithClock(const clock_source& clock);
  control_member_builder& WithRandom(random_source& random);
  control_member_builder& WithTransport(raft_transport& transport);
  /// Optional.
  control_member_builder& WithObserver(control_observer& observer);
  /// Optional; the default is the system's files.
  control_member_builder& WithFiles(file_system& files);

  /// Loads the journal and starts the member. Errors: kSettingInvalid, and kStorageFailed when the
  /// folder cannot be created, locked or read. With a damaged journal it returns a member with the
  /// role kFailed.
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
