#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "common/error_kind.h"
#include "common/types.h"

namespace teaseljunction {

/// Puts a manifest in force. `digest` covers `content`, which is the canonical JSON text.
struct submit_manifest {
  uint64_t version = 0;
  std::string digest;
  std::string content;
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

enum class member_role : uint8_t { kFollower, kCandidate, kLeader, kLearner, kFailed };

}  // namespace teaseljunction
