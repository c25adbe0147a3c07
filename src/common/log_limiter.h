#pragma once

#include <cstdint>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"

namespace teaseljunction {

/// Limits the rate of a log line that remote peers can trigger. Thread-safe.
class log_limiter {
 public:
  /// Allows one line per `interval`.
  explicit log_limiter(absl::Duration interval = absl::Seconds(1)) : interval_(interval) {}

  /// Returns the number of lines suppressed since the last one that was allowed, or nothing if this
  /// line is to be suppressed too.
  absl::optional<uint64_t> Allow() {
    const absl::Time now = absl::Now();
    absl::MutexLock lock(&mutex_);
    // After the wall clock was set back, the line must not stay suppressed until it catches up.
    if (now < next_allowed_ && next_allowed_ - now <= interval_) {
      ++suppressed_;
      return absl::nullopt;
    }
    const uint64_t suppressed = suppressed_;
    suppressed_ = 0;
    next_allowed_ = now + interval_;
    return suppressed;
  }

 private:
  const absl::Duration interval_;
  absl::Mutex mutex_;
  absl::Time next_allowed_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  uint64_t suppressed_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace teaseljunction
