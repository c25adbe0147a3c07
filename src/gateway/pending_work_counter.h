#pragma once

#include <cstdint>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace teaseljunction {

/// Counts operations that a planned shutdown has to wait for. Thread-safe.
class pending_work_counter {
 public:
  /// Registers a pending operation. Each call needs one call of `End`.
  void Begin() {
    absl::MutexLock lock(&mutex_);
    ++count_;
  }

  /// Ends a pending operation.
  void End() {
    absl::MutexLock lock(&mutex_);
    --count_;
  }

  /// Returns the number of pending operations.
  uint64_t Count() const {
    absl::MutexLock lock(&mutex_);
    return count_;
  }

  /// Blocks until no operation is pending. Returns false when `timeout` elapses first.
  bool WaitUntilIdle(absl::Duration timeout) {
    absl::MutexLock lock(&mutex_);
    return mutex_.AwaitWithTimeout(absl::Condition(
                                       +[](uint64_t* count) { return *count == 0; }, &count_),
                                   timeout);
  }

 private:
  mutable absl::Mutex mutex_;
  uint64_t count_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace teaseljunction
