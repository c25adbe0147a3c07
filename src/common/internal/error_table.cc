#include <array>

#include "common/error_kind.h"

namespace teaseljunction {
namespace {

constexpr run_state kNotRun = run_state::kNotRun;
constexpr run_state kMayHaveRun = run_state::kMayHaveRun;

// Columns: kind, status, run state, retryable, Retry-After, name, title. Rows are in the order of
// the enum, because `AnswerFor` uses the kind as an index.
constexpr std::array<error_answer, kErrorKindCount> kAnswers = {{
    {error_kind::kMalformedRequest, 400, kNotRun, false, false, "malformed-request",
     "The request is malformed."},
    {error_kind::kKeyMissing, 401, kNotRun, false, false, "key-missing",
     "The route needs a key and the request has none."},
    {error_kind::kKeyUnknown, 401, kNotRun, false, false, "key-unknown",
     "The key is unknown or withdrawn."},
    {error_kind::kContextUnknown, 403, kNotRun, false, false, "context-unknown",
     "The call context is unknown or its request has ended."},
    {error_kind::kRouteUnknown, 404, kNotRun, false, false, "route-unknown",
     "No route matches the path."},
    {error_kind::kMethodNotAllowed, 405, kNotRun, false, false, "method-not-allowed",
     "The route does not accept this method."},
    {error_kind::kBodyTooLarge, 413, kNotRun, false, false, "body-too-large",
     "The body is larger than the limit."},
    {error_kind::kHeadersTooLarge, 431, kNotRun, false, false, "headers-too-large",
     "The headers are larger than the limit."},
    {error_kind::kIdentityMissing, 400, kNotRun, false, false, "identity-missing",
     "The route is not idempotent and needs an Idempotency-Key."},
    {error_kind::kIdentityMismatch, 422, kNotRun, false, false, "identity-mismatch",
     "The Idempotency-Key was used for another request."},
    {error_kind::kIdentityInProgress, 409, kMayHaveRun, false, true, "identity-in-progress",
     "A request with this Idempotency-Key is running or its outcome is unknown."},
    {error_kind::kQuarantined, 422, kNotRun, false, false, "quarantined",
     "This request has crashed several targets and is refused."},
    {error_kind::kRateExceeded, 429, kNotRun, false, true, "rate-exceeded",
     "The client account is over its rate."},
    {error_kind::kOverloaded, 503, kNotRun, true, true, "overloaded", "The service is overloaded."},
    {error_kind::kDeadlineTooShort, 503, kNotRun, false, true, "deadline-too-short",
     "The request could not be started in time."},
    {error_kind::kAttemptsExhausted, 503, kNotRun, false, true, "attempts-exhausted",
     "The attempt budget of the request is used up."},
    {error_kind::kNoTarget, 503, kNotRun, false, true, "no-target", "No target is available."},
    {error_kind::kConfigurationStale, 503, kNotRun, false, true, "configuration-stale",
     "The daemon cannot confirm that its configuration is current."},
    {error_kind::kClaimUnavailable, 503, kNotRun, false, true, "claim-unavailable",
     "The request could not be registered for execution at most once."},
    {error_kind::kDraining, 503, kNotRun, true, true, "draining", "The daemon is stopping."},
    {error_kind::kCancelled, 499, kMayHaveRun, false, false, "cancelled", "The caller has gone."},
    {error_kind::kPeerUnreachable, 503, kNotRun, true, true, "peer-unreachable",
     "The daemon of the target could not be reached."},
    {error_kind::kPeerLost, 502, kMayHaveRun, true, false, "peer-lost",
     "The connection to the daemon of the target was lost."},
    {error_kind::kTargetUnreachable, 503, kNotRun, true, true, "target-unreachable",
     "The target does not accept connections."},
    {error_kind::kTargetShed, 503, kNotRun, true, true, "target-shed",
     "The target shed the request."},
    {error_kind::kTargetFailed, 502, kMayHaveRun, true, false, "target-failed",
     "The target did not send a whole answer."},
    {error_kind::kTargetCrashed, 502, kMayHaveRun, true, false, "target-crashed",
     "The target was lost while it ran the request."},
    {error_kind::kAnswerTooLarge, 502, kMayHaveRun, false, false, "answer-too-large",
     "The answer of the target is larger than the limit."},
    {error_kind::kDeadlineExceeded, 504, kMayHaveRun, false, false, "deadline-exceeded",
     "The request did not finish before its deadline."},
    {error_kind::kOutcomeUnknown, 502, kMayHaveRun, false, false, "outcome-unknown",
     "The outcome of the request is unknown."},
    {error_kind::kTargetOutdated, 409, kNotRun, false, false, "target-outdated",
     "A later process of the target has announced itself."},
    {error_kind::kManifestInvalid, 400, kNotRun, false, false, "manifest-invalid",
     "The manifest is invalid."},
    {error_kind::kManifestConflict, 409, kNotRun, false, false, "manifest-conflict",
     "Another manifest with this version is in force."},
    {error_kind::kManifestOutdated, 409, kNotRun, false, false, "manifest-outdated",
     "A manifest with a higher version is in force."},
    {error_kind::kNotLeader, 421, kNotRun, true, false, "not-leader",
     "This control member is not the leader."},
    {error_kind::kNoQuorum, 503, kNotRun, true, true, "no-quorum",
     "The control group has no reachable majority."},
    {error_kind::kCommitUnknown, 504, kMayHaveRun, true, true, "commit-unknown",
     "It is not known whether the command was committed."},
    {error_kind::kNotFound, 404, kNotRun, false, false, "not-found", "There is no such resource."},
    {error_kind::kStorageFailed, 500, kMayHaveRun, false, false, "storage-failed",
     "The data folder could not be written."},
    {error_kind::kStorageCorrupt, 500, kNotRun, false, false, "storage-corrupt",
     "The data folder is damaged."},
    {error_kind::kSettingInvalid, 400, kNotRun, false, false, "setting-invalid",
     "A setting is invalid."},
    {error_kind::kInternal, 500, kMayHaveRun, false, false, "internal", "Internal error."},
    {error_kind::kVersionUnsupported, 505, kNotRun, false, false, "version-unsupported",
     "The HTTP version is not supported."},
}};

}  // namespace

const error_answer& AnswerFor(error_kind kind) { return kAnswers[static_cast<size_t>(kind)]; }

}  // namespace teaseljunction
