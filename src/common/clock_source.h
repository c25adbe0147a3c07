#pragma once

#include "absl/time/time.h"

namespace teaseljunction {

/// Interface to a monotonic clock. Decision code takes the time as an argument; only the code that
/// does input and output reads it here.
class clock_source {
 public:
  virtual ~clock_source() = default;

  /// Returns the current time, which never decreases. Its epoch is arbitrary, so values are
  /// comparable only within one process.
  virtual absl::Time Now() const = 0;
};

/// Reads CLOCK_BOOTTIME, which includes time during which the host was suspended. Thread-safe.
class system_clock_source : public clock_source {
 public:
  absl::Time Now() const override;
};

}  // namespace teaseljunction
