#pragma once

#include <cstdint>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"

namespace teaseljunction {

/// Bounds the rate of a log line that remote parties can cause. Thread-safe.
class log_limiter {
 public:
  explicit log_limiter(absl::Duration interval = absl::Seconds(1)) : interval_(interval) {}

  /// Returns the number of lines left out since the last one that was written, or nothing when this
  /// line is to be left out too.
  absl::optional<uint64_t> Allow() {
    const absl::Time now = absl::Now();
    absl::MutexLock lock(&mutex_);
    // A clock that was set back must not silence the line until it has caught up.
    if (now < next_ && next_ - now <= interval_) {
      ++left_out_;
      return absl::nullopt;
    }
    const uint64_t left_out = left_out_;
    left_out_ = 0;
    next_ = now + interval_;
    return left_out;
  }

 private:
  const absl::Duration interval_;
  absl::Mutex mutex_;
  absl::Time next_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  uint64_t left_out_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace teaseljunction
