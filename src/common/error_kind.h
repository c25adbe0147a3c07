#pragma once

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"

namespace teaseljunction {

/// All kinds of errors. `AnswerFor` returns the answer that a caller gets for each.
enum class error_kind : uint8_t {
  // Errors in the caller's request.
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
  // Requests refused by a daemon.
  kRateExceeded,
  kOverloaded,
  kDeadlineTooShort,
  kAttemptsExhausted,
  kNoTarget,
  kConfigurationStale,
  kClaimUnavailable,
  kDraining,
  kCancelled,
  // Failures between the entry daemon and the target, or at the target.
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
  // Errors of operators' requests and of the control group.
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
  // Daemons send kinds by number, so new ones are added at the end.
  kVersionUnsupported,
};

/// Number of error kinds, for tables indexed by kind.
constexpr int kErrorKindCount = static_cast<int>(error_kind::kVersionUnsupported) + 1;

/// Whether a request that ended with an error may have been executed by a target.
enum class run_state : uint8_t { kNotRun, kMayHaveRun };

/// The answer to a caller for one error kind.
struct error_answer {
  error_kind kind;
  /// HTTP status.
  int status;
  run_state run;
  /// True if the layer directly above may try another target.
  bool retryable;
  /// True if the answer has a Retry-After header.
  bool retry_after;
  /// Name used in logs, metrics and the `type` field of problem documents.
  absl::string_view name;
  /// One sentence for the `title` field of problem documents.
  absl::string_view title;
};

/// Returns the answer for an error kind. This table is the only place that decides on status codes
/// and on whether a request may have been executed.
const error_answer& AnswerFor(error_kind kind);

/// An error with an optional, human-readable detail.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string detail;
};

}  // namespace teaseljunction
