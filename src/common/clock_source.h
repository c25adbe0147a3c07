#pragma once

#include "absl/time/time.h"

namespace teaseljunction {

/// Port for time. Decision code gets the time as an argument; adapters read it here.
class clock_source {
 public:
  virtual ~clock_source() = default;

  /// Returns a time that never goes back. Its epoch is arbitrary, so it is comparable only within
  /// one process.
  virtual absl::Time Now() const = 0;
};

/// Reads CLOCK_BOOTTIME, which also counts the time that the host was suspended.
class system_clock_source : public clock_source {
 public:
  absl::Time Now() const override;
};

}  // namespace teaseljunction
