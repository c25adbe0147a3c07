#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "control/control_member.h"
#include "control/group_bootstrap.h"
#include "control/journal.h"
#include "control/raft_replica.h"
#include "control/replicated_state.h"

namespace teaseljunction {

using proposal_completion = absl::AnyInvocable<void(propose_response)>;

/// A proposal whose command is already encoded, so that the encoding runs on the caller's thread.
struct encoded_proposal {
  command value;
  std::string data;
  proposal_completion completion;
};

encoded_proposal EncodeProposal(command value, proposal_completion completion);

/// The state of a control member that other threads may read; published after each batch.
struct member_view {
  control_status status;
  bool leader = false;
  absl::Time leader_since = absl::InfiniteFuture();
  absl::Time lease_until = absl::InfinitePast();
  std::shared_ptr<const manifest_record> manifest = std::make_shared<manifest_record>();
  std::shared_ptr<const std::vector<std::string>> quarantined =
      std::make_shared<std::vector<std::string>>();
};

/// The control member without its thread: connects the replica, the journal, the replicated state
/// and the transport. A batch consists of calls of `Receive`, `Propose` and `Tick`, then one call
/// of `FinishBatch` and one of `RunCallbacks`. Not thread-safe.
class member_core {
 public:
  /// The references must outlive the core. `observer` may be null.
  member_core(control_member_settings settings, raft_storage& storage, random_source& random,
              raft_transport& transport, control_observer* observer);

  /// Loads the stored state, with a new member id if there is none, and stores it. Errors:
  /// kStorageFailed if the journal cannot be read. If it is damaged, the call succeeds and the role
  /// is kFailed.
  result<void> Start(absl::Time now);

  void Receive(absl::string_view message, absl::Time now);
  void Propose(encoded_proposal proposal, absl::Time now);
  void Tick(absl::Time now);

  /// Makes the effects of the batch durable, then sends its messages and applies committed records.
  /// While the disk refuses them, the member does not lead, drops all messages and repeats the
  /// write in later batches.
  void FinishBatch(absl::Time now);

  /// Calls the observer and the completions that are due. Must be called after `View()` has been
  /// published.
  void RunCallbacks();

  /// Fails all pending proposals with kCommitUnknown.
  void AbortProposals();

  /// Time at which `Tick` must be called next, unless there is a batch before.
  absl::Time NextTick() const;

  const member_view& View() const { return view_; }
  const raft_replica& Replica() const { return *replica_; }
  const replicated_state& State() const { return state_; }

 private:
  struct pending_proposal {
    uint64_t term = 0;
    absl::Time deadline;
    proposal_completion completion;
  };

  void HandleHello(const bootstrap_hello& hello, absl::Time now);
  void RunBootstrap(bootstrap_output output, hard_state state, absl::Time now);
  void StartReplica(stored_log stored, absl::Time now);
  bool Restore(const log_snapshot& snapshot);
  bool Persist(const raft_output& output, absl::Time now);
  // Keeps an output that the disk has refused, without its messages.
  void HoldOutput(raft_output output, absl::Time now);
  void SendMessages(const std::vector<outgoing_message>& messages);
  void ApplyRecords(const std::vector<log_record>& records);
  void TakeSnapshotIfDue(absl::Time now);
  void CompleteProposal(uint64_t index, uint64_t term, command_result result);
  void ExpireProposals(absl::Time now);
  void QueueCompletion(proposal_completion completion, propose_response response);
  void StopWithFailure(const error& failure);
  // Runs an operation on the journal and returns whether it succeeded. A refused write is only
  // reported, because the disk may accept it later; any other failure stops the member.
  template <class Operation>
  bool Store(Operation&& operation, absl::Time now);
  void ReportRefusedWrite(const error& failure, absl::Time now);
  void ReportAcceptedWrite(absl::Time now);
  void UpdateView(absl::Time now);
  void NotifyLeadership(absl::Time now);

  control_member_settings settings_;
  raft_storage& storage_;
  random_source& random_;
  raft_transport& transport_;
  control_observer* observer_;
  group_bootstrap bootstrap_;
  absl::optional<raft_replica> replica_;
  replicated_state state_;
  bool failed_ = false;
  error failure_;
  // The effects of a batch that the disk has refused. Nothing else is done until they are durable.
  absl::optional<raft_output> held_output_;
  absl::Time next_write_;
  // Time of the first refused write since the last accepted one.
  absl::optional<absl::Time> writes_refused_since_;
  absl::Time next_snapshot_attempt_ = absl::InfinitePast();
  uint64_t snapshot_index_ = 0;
  uint64_t snapshot_size_ = 0;
  uint64_t bytes_since_snapshot_ = 0;
  std::map<uint64_t, pending_proposal> pending_proposals_;
  std::vector<absl::AnyInvocable<void()>> callbacks_;
  member_view view_;
};

}  // namespace teaseljunction
