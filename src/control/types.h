#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/error_kind.h"
#include "common/types.h"

namespace teaseljunction {

/// Timing of the Raft protocol. All members of a group must use the same values. The defaults suit
/// data centres some tens of milliseconds apart.
struct raft_timing {
  absl::Duration heartbeat_interval = absl::Milliseconds(100);
  absl::Duration election_timeout_min = absl::Milliseconds(500);
  absl::Duration election_timeout_max = absl::Milliseconds(1000);
  /// Must be shorter than `election_timeout_min` by more than the drift between two clocks.
  absl::Duration leader_lease = absl::Milliseconds(400);
};

/// Largest encoded command, in bytes.
constexpr uint64_t kMaxCommandBytes = 4 * 1024 * 1024;
/// A snapshot is taken when the records applied since the last one have this size, in bytes.
constexpr uint64_t kSnapshotAfterBytes = 8 * 1024 * 1024;
/// Largest size of the records that stay in memory after a snapshot, in bytes.
constexpr uint64_t kRetainedBytes = 8 * 1024 * 1024;
/// Size of uncommitted records at which a leader accepts no further proposals, in bytes.
constexpr uint64_t kMaxUncommittedBytes = 16 * 1024 * 1024;
/// Size of the records sent to a member without a response at which no more are sent to it, in
/// bytes. Each member needs a round trip for this size.
constexpr uint64_t kMaxInFlightBytes = 4 * 1024 * 1024;
/// Largest size of the log in memory of a member with the default settings, in bytes, while its
/// disk accepts snapshots and the last one is no larger than `kSnapshotAfterBytes`. The limits are
/// checked before a record is added, so one command may exceed each of the last two.
constexpr uint64_t kMaxLogBytes =
    kRetainedBytes + kSnapshotAfterBytes + kMaxUncommittedBytes + 2 * kMaxCommandBytes;

/// Puts a manifest in force. `content` is its text in the format of the deployment, and `digest` is
/// the digest of `content`.
struct submit_manifest {
  uint64_t version = 0;
  std::string digest;
  std::string content;
  /// Version that this manifest is meant to replace. If it is set, the command is refused with
  /// kManifestConflict when another version is in force; a manifest that was accepted before is
  /// acknowledged again.
  absl::optional<uint64_t> base_version;
};

/// Registers a non-idempotent request before it is dispatched, so that it is not run twice.
struct claim {
  std::string client_account;
  std::string identity;
  std::string fingerprint;
  /// Unique for each attempt of an entry daemon to register a request, so that a proposal that is
  /// repeated by the same attempt is recognised.
  std::string claim_attempt_id;
};

/// Records the response of a claimed request.
struct complete_claim {
  std::string client_account;
  std::string identity;
  std::string claim_attempt_id;
  call_answer answer;
};

/// Removes the claim of a request that is known not to have run.
struct release_claim {
  std::string client_account;
  std::string identity;
  std::string claim_attempt_id;
};

/// Quarantines the fingerprint of a request that crashed several targets: all daemons refuse it.
struct quarantine_fingerprint {
  std::string fingerprint;
};

/// Adds a control member as a learner, which receives the log but does not vote.
struct add_learner {
  uint64_t member_id = 0;
  /// RPC address, "IP:port".
  std::string address;
  std::string data_centre;
};

/// Makes a learner a voter. The learner must have caught up with the log.
struct promote_learner {
  uint64_t member_id = 0;
};

/// Removes a control member.
struct remove_member {
  uint64_t member_id = 0;
};

/// A command of the replicated log. `std::monostate` has no effect.
using command = std::variant<std::monostate, submit_manifest, claim, complete_claim, release_claim,
                             quarantine_fingerprint, add_learner, promote_learner, remove_member>;

/// The result of a claim: granted to this attempt; completed with a recorded response; held by
/// another attempt, or completed without a recorded response; claimed with another fingerprint.
enum class claim_state : uint8_t { kGranted, kCompleted, kInProgress, kFingerprintMismatch };

/// Result of an applied command.
struct command_result {
  /// False when the command was refused for the reason in `failure`.
  bool applied = false;
  error failure;
  /// True when the manifest had been accepted before, or the membership change already made.
  bool already_accepted = false;
  /// Set for `claim`.
  claim_state claim_outcome = claim_state::kInProgress;
  /// The recorded response when `claim_outcome` is `kCompleted`.
  call_answer answer;
};

/// The manifest in force. Version 0 means that there is none.
struct manifest_record {
  uint64_t version = 0;
  std::string digest;
  std::string content;
};

/// A `kLearner` receives the log without voting, or waits to be added to a group. A `kFailed`
/// member has stopped because its storage is damaged, and has to be replaced.
enum class member_role : uint8_t { kFollower, kCandidate, kLeader, kLearner, kFailed };

/// One member of the control group.
struct group_member {
  uint64_t member_id = 0;
  /// RPC address, "IP:port".
  std::string address;
  std::string data_centre;
  /// False for learners.
  bool voter = false;
  bool operator==(const group_member&) const = default;
};

/// The members of the control group, ordered by id.
using group_configuration = std::vector<group_member>;

/// What a record holds. `kNoOp` is the record that a new leader appends.
enum class record_kind : uint8_t { kNoOp, kCommand, kConfiguration };

/// What the leader knows of another member of the group.
struct member_progress {
  uint64_t member_id = 0;
  /// Time covered by the regular heartbeats that the member has left unanswered. Unlike the time
  /// since its last answer, it does not grow while the leader itself is suspended.
  absl::Duration silence;
  /// True if the member lacks few enough records to be promoted.
  bool caught_up = false;
};

/// One record of the replicated log.
struct log_record {
  uint64_t index = 0;
  uint64_t term = 0;
  /// Replicated time: the total time elapsed under all leaders so far, counted from the Unix epoch.
  /// It never decreases from one record to the next.
  absl::Time time = absl::UnixEpoch();
  record_kind kind = record_kind::kNoOp;
  /// The encoded command of a `kCommand` record.
  std::string data;
  /// The whole new configuration of a `kConfiguration` record.
  group_configuration configuration;
};

/// The persistent state of a member beside its log. It must be durable before any message that
/// depends on it is sent.
struct hard_state {
  uint64_t member_id = 0;
  /// 0 while the member belongs to no group.
  uint64_t group_id = 0;
  uint64_t term = 0;
  /// Id of the member that this member voted for in `term`, or 0.
  uint64_t vote = 0;
  /// The initial voters that this member has agreed to; empty before. Once set, it never changes.
  group_configuration initial_voters;
  bool operator==(const hard_state&) const = default;
};

/// The replicated state after all records up to `index`.
struct log_snapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  absl::Time time = absl::UnixEpoch();
  group_configuration configuration;
  /// The encoded replicated state; shared, since it may be large.
  std::shared_ptr<const std::string> data;
};

}  // namespace teaseljunction
