#include <array>

#include "common/error_kind.h"

namespace teaseljunction {
namespace {

constexpr run_state kNot = run_state::kNotRun;
constexpr run_state kMay = run_state::kMayHaveRun;

// Columns: kind, status, run state, retryable, Retry-After, name, title. Rows are in enum order.
constexpr std::array<error_answer, kErrorKindCount> kAnswers = {{
    {error_kind::kMalformedRequest, 400, kNot, false, false, "malformed-request",
     "The request is malformed."},
    {error_kind::kKeyMissing, 401, kNot, false, false, "key-missing",
     "The route needs a key and the request has none."},
    {error_kind::kKeyUnknown, 401, kNot, false, false, "key-unknown",
     "The key is unknown or withdrawn."},
    {error_kind::kContextUnknown, 403, kNot, false, false, "context-unknown",
     "The call context is unknown or its request has ended."},
    {error_kind::kRouteUnknown, 404, kNot, false, false, "route-unknown",
     "No route matches the path."},
    {error_kind::kMethodNotAllowed, 405, kNot, false, false, "method-not-allowed",
     "The route does not accept this method."},
    {error_kind::kBodyTooLarge, 413, kNot, false, false, "body-too-large",
     "The body is larger than the limit."},
    {error_kind::kHeadersTooLarge, 431, kNot, false, false, "headers-too-large",
     "The headers are larger than the limit."},
    {error_kind::kIdentityMissing, 400, kNot, false, false, "identity-missing",
     "The route is not idempotent and needs an Idempotency-Key."},
    {error_kind::kIdentityMismatch, 422, kNot, false, false, "identity-mismatch",
     "The Idempotency-Key was used for another request."},
    {error_kind::kIdentityInProgress, 409, kMay, false, true, "identity-in-progress",
     "A request with this Idempotency-Key is running or its outcome is unknown."},
    {error_kind::kQuarantined, 422, kNot, false, false, "quarantined",
     "This request has crashed several targets and is refused."},
    {error_kind::kRateExceeded, 429, kNot, false, true, "rate-exceeded",
     "The client account is over its rate."},
    {error_kind::kOverloaded, 503, kNot, true, true, "overloaded", "The service is overloaded."},
    {error_kind::kDeadlineTooShort, 503, kNot, false, true, "deadline-too-short",
     "The request could not be started in time."},
    {error_kind::kAttemptsExhausted, 503, kNot, false, true, "attempts-exhausted",
     "The attempt budget of the request is used up."},
    {error_kind::kNoTarget, 503, kNot, false, true, "no-target", "No target is available."},
    {error_kind::kConfigurationStale, 503, kNot, false, true, "configuration-stale",
     "The daemon cannot confirm that its configuration is current."},
    {error_kind::kClaimUnavailable, 503, kNot, false, true, "claim-unavailable",
     "The request could not be registered for execution at most once."},
    {error_kind::kDraining, 503, kNot, true, true, "draining", "The daemon is stopping."},
    {error_kind::kCancelled, 499, kMay, false, false, "cancelled", "The caller has gone."},
    {error_kind::kPeerUnreachable, 503, kNot, true, true, "peer-unreachable",
     "The daemon of the target could not be reached."},
    {error_kind::kPeerLost, 502, kMay, true, false, "peer-lost",
     "The connection to the daemon of the target was lost."},
    {error_kind::kTargetUnreachable, 503, kNot, true, true, "target-unreachable",
     "The target does not accept connections."},
    {error_kind::kTargetShed, 503, kNot, true, true, "target-shed", "The target shed the request."},
    {error_kind::kTargetFailed, 502, kMay, true, false, "target-failed",
     "The target did not send a whole answer."},
    {error_kind::kTargetCrashed, 502, kMay, true, false, "target-crashed",
     "The target was lost while it ran the request."},
    {error_kind::kAnswerTooLarge, 502, kMay, false, false, "answer-too-large",
     "The answer of the target is larger than the limit."},
    {error_kind::kDeadlineExceeded, 504, kMay, false, false, "deadline-exceeded",
     "The request did not finish before its deadline."},
    {error_kind::kOutcomeUnknown, 502, kMay, false, false, "outcome-unknown",
     "The outcome of the request is unknown."},
    {error_kind::kTargetOutdated, 409, kNot, false, false, "target-outdated",
     "A later process of the target has announced itself."},
    {error_kind::kManifestInvalid, 400, kNot, false, false, "manifest-invalid",
     "The manifest is invalid."},
    {error_kind::kManifestConflict, 409, kNot, false, false, "manifest-conflict",
     "Another manifest with this version is in force."},
    {error_kind::kManifestOutdated, 409, kNot, false, false, "manifest-outdated",
     "A manifest with a higher version is in force."},
    {error_kind::kNotLeader, 421, kNot, true, false, "not-leader",
     "This control member is not the leader."},
    {error_kind::kNoQuorum, 503, kNot, true, true, "no-quorum",
     "The control group has no reachable majority."},
    {error_kind::kCommitUnknown, 504, kMay, true, true, "commit-unknown",
     "It is not known whether the command was committed."},
    {error_kind::kNotFound, 404, kNot, false, false, "not-found", "There is no such resource."},
    {error_kind::kStorageFailed, 500, kMay, false, false, "storage-failed",
     "The data folder could not be written."},
    {error_kind::kStorageCorrupt, 500, kNot, false, false, "storage-corrupt",
     "The data folder is damaged."},
    {error_kind::kSettingInvalid, 400, kNot, false, false, "setting-invalid",
     "A setting is invalid."},
    {error_kind::kInternal, 500, kMay, false, false, "internal", "Internal error."},
}};

}  // namespace

const error_answer& AnswerFor(error_kind kind) { return kAnswers[static_cast<size_t>(kind)]; }

}  // namespace teaseljunction
