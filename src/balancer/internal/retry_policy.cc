#include "balancer/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace teaseljunction {
namespace {

constexpr absl::Duration kBaseBackoff = absl::Milliseconds(5);
constexpr absl::Duration kMaxBackoff = absl::Milliseconds(100);
// Bounds of the estimate for a Retry-After value.
constexpr absl::Duration kMinEstimate = absl::Milliseconds(10);
constexpr absl::Duration kMaxEstimate = absl::Hours(1);

// Returns a delay with full jitter below a bound that doubles with each attempt.
absl::Duration BackoffAfter(uint32_t attempts_made, random_source& random) {
  const uint32_t doublings = std::min(std::max(attempts_made, 1U) - 1, 10U);
  return std::min(kMaxBackoff, kBaseBackoff * (1 << doublings)) * random.Fraction();
}

bool MayRunAgain(const failed_attempt& attempt) {
  const error_answer& answer = AnswerFor(attempt.kind);
  if (!answer.retryable) return false;
  if (answer.run == run_state::kNotRun) return true;
  if (!attempt.idempotent || attempt.has_claim) return false;
  const uint32_t own_crash = attempt.kind == error_kind::kTargetCrashed ? 1 : 0;
  return attempt.crash_count <= own_crash;
}

// Returns true when no target has received the call, so that a retry adds no load to the service.
bool NeverReachedTarget(error_kind kind) {
  return kind == error_kind::kDraining || kind == error_kind::kPeerUnreachable ||
         kind == error_kind::kTargetUnreachable;
}

}  // namespace

absl::optional<absl::Duration> DecideRetry(const failed_attempt& attempt, retry_budget& budget,
                                           random_source& random, absl::Time now) {
  if (attempt.attempts_made >= std::min(attempt.max_attempts, kMaxAttemptsPerHop))
    return absl::nullopt;
  if (!MayRunAgain(attempt)) return absl::nullopt;
  const absl::Duration delay = BackoffAfter(attempt.attempts_made, random);
  if (delay >= attempt.time_left) return absl::nullopt;
  if (!NeverReachedTarget(attempt.kind) && !budget.TryTakeRetry(attempt.service, now))
    return absl::nullopt;
  return delay;
}

absl::Duration RetryAfterDelay(absl::Duration estimate, random_source& random) {
  const absl::Duration shortest = std::clamp(estimate, kMinEstimate, kMaxEstimate);
  return shortest * (1 + random.Fraction());
}

}  // namespace teaseljunction
