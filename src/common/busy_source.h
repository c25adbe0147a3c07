#pragma once

#include "absl/time/time.h"

namespace teaseljunction {

/// Interface to the load of the thread that handles the calls of this daemon.
class busy_source {
 public:
  virtual ~busy_source() = default;

  /// Returns the load of the thread: the recent share of time in which it did not wait for events,
  /// and above 1 while it has not waited for long, because events then queue. Thread-safe.
  virtual double BusyLoad(absl::Time now) const = 0;
};

}  // namespace teaseljunction
