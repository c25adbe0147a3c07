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

/// Times of the agreement between control members, the same at all of them. The defaults suit data
/// centres some tens of milliseconds apart.
struct raft_times {
  absl::Duration heartbeat = absl::Milliseconds(100);
  absl::Duration election_timeout_min = absl::Milliseconds(500);
  absl::Duration election_timeout_max = absl::Milliseconds(1000);
  /// Must be below `election_timeout_min` by more than the drift of two clocks.
  absl::Duration lease = absl::Milliseconds(400);
};

/// Puts a manifest in force. `digest` covers `content`, the text in the format of the deployment.
struct submit_manifest {
  uint64_t version = 0;
  std::string digest;
  std::string content;
  /// Version that this one is meant to replace. When it is set, another version in force is a
  /// conflict, and a manifest that was accepted before is acknowledged again.
  absl::optional<uint64_t> base;
};

/// Registers a non-idempotent request before it is dispatched.
struct claim {
  std::string client_account;
  std::string identity;
  std::string fingerprint;
  /// Unique per attempt of an entry daemon to register a request, so that a repeated proposal of
  /// the same attempt is recognised.
  std::string attempt_id;
};

/// Records the response of a claimed request.
struct complete {
  std::string client_account;
  std::string identity;
  std::string attempt_id;
  call_answer answer;
};

/// Removes a claim whose request certainly has not run.
struct release {
  std::string client_account;
  std::string identity;
  std::string attempt_id;
};

/// Refuses a request everywhere because it crashed several targets.
struct quarantine_request {
  std::string fingerprint;
};

/// Adds a control member that receives the log but does not vote.
struct add_learner {
  uint64_t member_id = 0;
  /// RPC address, "IP:port".
  std::string address;
  std::string data_centre;
};

/// Makes a learner that has caught up a voter.
struct promote {
  uint64_t member_id = 0;
};

/// Removes a control member.
struct remove_member {
  uint64_t member_id = 0;
};

/// A command of the replicated log. `std::monostate` is the empty record of a new leader.
using command = std::variant<std::monostate, submit_manifest, claim, complete, release,
                             quarantine_request, add_learner, promote, remove_member>;

/// What a claim was answered.
enum class claim_state : uint8_t { kGranted, kCompleted, kInProgress, kMismatch };

/// Result of an applied command.
struct command_result {
  /// False when the command was refused; `failure` says why.
  bool applied = false;
  error failure;
  /// True when the manifest with this version and digest was in force before.
  bool already_accepted = false;
  /// Set for `claim`.
  claim_state claim = claim_state::kInProgress;
  /// The recorded response when `claim` is `kCompleted`.
  call_answer answer;
};

/// The manifest in force. Version 0 means that there is none.
struct manifest_record {
  uint64_t version = 0;
  std::string digest;
  std::string content;
};

/// `kLearner` receives the log without voting, or waits until it is added to a group. `kFailed`
/// has stopped because of its storage and needs a replacement.
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

enum class record_kind : uint8_t { kEmpty, kCommand, kConfiguration };

/// One record of the replicated log.
struct log_record {
  uint64_t index = 0;
  uint64_t term = 0;
  /// Replicated time: the time elapsed under all leaders so far, counted from the Unix epoch. It
  /// never goes back from one record to the next.
  absl::Time time = absl::UnixEpoch();
  record_kind kind = record_kind::kEmpty;
  /// The encoded command of a `kCommand` record.
  std::string data;
  /// The whole new configuration of a `kConfiguration` record.
  group_configuration configuration;
};

/// What a member must have on disk before it sends a message that depends on it.
struct hard_state {
  uint64_t member_id = 0;
  /// Identifies the group. 0 as long as the member belongs to none.
  uint64_t group_id = 0;
  uint64_t term = 0;
  /// The member that got this member's vote in `term`, or 0.
  uint64_t vote = 0;
  /// The initial voters that this member has agreed to, empty before. It never changes once set.
  group_configuration initial_voters;
  bool operator==(const hard_state&) const = default;
};

/// The state after all records up to `index`.
struct log_snapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  absl::Time time = absl::UnixEpoch();
  group_configuration configuration;
  /// The encoded replicated state. Shared, since it may be large.
  std::shared_ptr<const std::string> data;
};

}  // namespace teaseljunction
