#pragma once

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"

namespace teaseljunction {

/// The closed list of errors. `AnswerFor` gives the answer of each kind.
enum class error_kind : uint8_t {
  // Faults of the caller's request.
  kMalformedRequest,
  kKeyMissing,
  kKeyUnknown,
  kContextUnknown,
  kRouteUnknown,
  kMethodNotAllowed,
  kBodyTooLarge,
  kHeadersTooLarge,
  kIdentityMissing,
  kIdentityMismatch,
  kIdentityInProgress,
  kQuarantined,
  // Refusals.
  kRateExceeded,
  kOverloaded,
  kDeadlineTooShort,
  kAttemptsExhausted,
  kNoTarget,
  kConfigurationStale,
  kClaimUnavailable,
  kDraining,
  kCancelled,
  // Failures on the way to the target.
  kPeerUnreachable,
  kPeerLost,
  kTargetUnreachable,
  kTargetShed,
  kTargetFailed,
  kTargetCrashed,
  kAnswerTooLarge,
  kDeadlineExceeded,
  kOutcomeUnknown,
  kTargetOutdated,
  // Operators' requests and the control group.
  kManifestInvalid,
  kManifestConflict,
  kManifestOutdated,
  kNotLeader,
  kNoQuorum,
  kCommitUnknown,
  kNotFound,
  // Local failures.
  kStorageFailed,
  kStorageCorrupt,
  kSettingInvalid,
  kInternal,
};

/// Number of error kinds, for tables indexed by kind.
constexpr int kErrorKindCount = static_cast<int>(error_kind::kInternal) + 1;

/// Says whether a request that ended with an error may have run at a target.
enum class run_state : uint8_t { kNotRun, kMayHaveRun };

/// What a caller is told for one error kind.
struct error_answer {
  error_kind kind;
  /// HTTP status.
  int status;
  run_state run;
  /// True when the layer directly above may try another target.
  bool retryable;
  /// True when the answer carries Retry-After.
  bool retry_after;
  /// Name used in logs, metrics and the `type` field of problem documents.
  absl::string_view name;
  /// One sentence for the `title` field of problem documents.
  absl::string_view title;
};

/// Returns the only answer for an error kind. Status codes and "not run" are chosen nowhere else.
const error_answer& AnswerFor(error_kind kind);

/// An error with an optional detail for its reader.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string detail;
};

}  // namespace teaseljunction
