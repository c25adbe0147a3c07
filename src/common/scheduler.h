#pragma once

#include <cstdint>

#include "absl/functional/any_invocable.h"
#include "absl/time/time.h"

namespace teaseljunction {

/// Port for delayed work. Thread-safe; tasks run on a thread of the implementation and must not
/// block.
class scheduler {
 public:
  virtual ~scheduler() = default;

  /// Runs `task` once at `when`, or soon when that time has passed. Returns an id for `Cancel`.
  virtual uint64_t RunAt(absl::Time when, absl::AnyInvocable<void()> task) = 0;

  /// Drops a task that has not started. Unknown ids are ignored.
  virtual void Cancel(uint64_t id) = 0;
};

}  // namespace teaseljunction
