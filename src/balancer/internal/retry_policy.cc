#include "balancer/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace teaseljunction {
namespace {

constexpr absl::Duration kBaseDelay = absl::Milliseconds(5);
constexpr absl::Duration kMaxDelay = absl::Milliseconds(100);
/// Longest estimate that a caller is told, in seconds.
constexpr double kLongestEstimate = 3600;

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

}  // namespace

absl::optional<absl::Duration> DecideRetry(const failed_attempt& attempt, retry_budget& budget,
                                           random_source& random, absl::Time now) {
  if (attempt.attempts_made >= kMaxAttemptsPerHop) return absl::nullopt;
  if (!MayRunAgain(attempt)) return absl::nullopt;
  const absl::Duration delay = DelayAfter(attempt.attempts_made, random);
  if (delay >= attempt.time_left) return absl::nullopt;
  if (!budget.TryRetry(attempt.service, now)) return absl::nullopt;
  return delay;
}

uint32_t RetryAfterSeconds(absl::Duration estimate, random_source& random) {
  const double base = std::clamp(absl::ToDoubleSeconds(estimate), 1.0, kLongestEstimate);
  return static_cast<uint32_t>(std::lround(base * (1 + random.Fraction())));
}

}  // namespace teaseljunction
