#pragma once

#include <cstdint>

#include "absl/functional/any_invocable.h"
#include "absl/time/time.h"

namespace teaseljunction {

/// Interface to a scheduler of delayed tasks. Thread-safe. Tasks run on a thread of the
/// implementation and must not block.
class scheduler {
 public:
  virtual ~scheduler() = default;

  /// Runs `task` once at `when`, or as soon as possible if that time has passed. Returns an id for
  /// `Cancel`.
  virtual uint64_t RunAt(absl::Time when, absl::AnyInvocable<void()> task) = 0;

  /// Removes a task that has not started. Unknown ids are ignored.
  virtual void Cancel(uint64_t id) = 0;
};

}  // namespace teaseljunction
