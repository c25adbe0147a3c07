#pragma once

#include <functional>

#include "absl/time/clock.h"

namespace teaseljunction {

/// Longest wait of a test for a condition.
constexpr absl::Duration kWaitLimit = absl::Seconds(20);
constexpr absl::Duration kPollInterval = absl::Milliseconds(5);

/// Waits until the condition holds. Returns false if it does not hold within `kWaitLimit`.
inline bool WaitUntil(const std::function<bool()>& condition) {
  const absl::Time limit = absl::Now() + kWaitLimit;
  while (!condition()) {
    if (absl::Now() > limit) return false;
    absl::SleepFor(kPollInterval);
  }
  return true;
}

}  // namespace teaseljunction
