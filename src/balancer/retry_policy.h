#pragma once

#include <cstdint>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "balancer/retry_budget.h"
#include "common/error_kind.h"
#include "common/random_source.h"

namespace teaseljunction {

/// Maximum number of attempts of one call at one hop, the first one included.
constexpr uint32_t kMaxAttemptsPerHop = 3;

/// A failed attempt, as seen by the layer that made it.
struct failed_attempt {
  absl::string_view service;
  error_kind kind = error_kind::kInternal;
  bool idempotent = false;
  /// True when the call holds a claim, which guarantees that it runs at most once.
  bool has_claim = false;
  /// Attempts made at this hop, this one included. At least 1.
  uint32_t attempts_made = 1;
  /// Attempts at this hop that ended with `kTargetCrashed`, this one included.
  uint32_t crash_count = 0;
  /// Time left until the deadline of the call.
  absl::Duration time_left;
  /// Attempts that the call may make at this hop; `kMaxAttemptsPerHop` applies as well.
  uint32_t max_attempts = kMaxAttemptsPerHop;
};

/// Decides whether a failed call is retried. Returns the delay before the next attempt, or nothing
/// when the call ends with this failure. Takes from `budget` only when it returns a delay, and not
/// if no target has received the failed attempt. A call that is not idempotent, or has a claim, is
/// retried only when the attempt is known not to have run. A call that was in flight on a target
/// that crashed runs at most once more.
absl::optional<absl::Duration> DecideRetry(const failed_attempt& attempt, retry_budget& budget,
                                           random_source& random, absl::Time now);

/// Returns the Retry-After value for a refused caller: a random time between `estimate` and twice
/// the estimate, so that callers do not return at the same time. The estimate is clamped to 10 ms
/// to 1 h.
absl::Duration RetryAfterDelay(absl::Duration estimate, random_source& random);

}  // namespace teaseljunction
