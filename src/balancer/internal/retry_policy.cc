#include "balancer/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace teaseljunction {
namespace {

constexpr absl::Duration kBaseDelay = absl::Milliseconds(5);
constexpr absl::Duration kMaxDelay = absl::Milliseconds(100);
/// Estimates that a caller is told.
constexpr absl::Duration kShortestEstimate = absl::Milliseconds(10);
constexpr absl::Duration kLongestEstimate = absl::Hours(1);

// Full jitter over an upper bound that doubles with each attempt.
absl::Duration DelayAfter(uint32_t attempts_made, random_source& random) {
  const uint32_t doublings = std::min(std::max(attempts_made, 1U) - 1, 10U);
  return std::min(kMaxDelay, kBaseDelay * (1 << doublings)) * random.Fraction();
}

bool MayRunAgain(const failed_attempt& attempt) {
  const error_answer& answer = AnswerFor(attempt.kind);
  if (!answer.retryable) return false;
  if (answer.run == run_state::kNotRun) return true;
  if (!attempt.idempotent || attempt.has_claim) return false;
  const uint32_t this_crash = attempt.kind == error_kind::kTargetCrashed ? 1 : 0;
  return attempt.crashes <= this_crash;
}

// Kinds after which no target has received the call, so that another attempt adds no load to one.
bool NeverArrived(error_kind kind) {
  return kind == error_kind::kDraining || kind == error_kind::kPeerUnreachable ||
         kind == error_kind::kTargetUnreachable;
}

}  // namespace

absl::optional<absl::Duration> DecideRetry(const failed_attempt& attempt, retry_budget& budget,
                                           random_source& random, absl::Time now) {
  if (attempt.attempts_made >= std::min(attempt.max_attempts, kMaxAttemptsPerHop))
    return absl::nullopt;
  if (!MayRunAgain(attempt)) return absl::nullopt;
  const absl::Duration delay = DelayAfter(attempt.attempts_made, random);
  if (delay >= attempt.time_left) return absl::nullopt;
  if (!NeverArrived(attempt.kind) && !budget.TryRetry(attempt.service, now)) return absl::nullopt;
  return delay;
}

absl::Duration RetryAfterDelay(absl::Duration estimate, random_source& random) {
  const absl::Duration base = std::clamp(estimate, kShortestEstimate, kLongestEstimate);
  return base * (1 + random.Fraction());
}

}  // namespace teaseljunction
