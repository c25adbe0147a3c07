#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/error_kind.h"
#include "common/types.h"

namespace teaseljunction {

/// A call that asks to be started at the target.
struct admission_request {
  /// Unique in the daemon.
  uint64_t call_id = 0;
  request_priority priority = request_priority::kNormal;
  uint8_t cohort = 0;
  /// Hops above this call; a deeper call carries more completed work.
  uint32_t depth = 0;
  std::string client_account;
  /// Size of the queued call in bytes, for the bound on queue memory.
  size_t bytes = 0;
  absl::Time deadline = absl::InfiniteFuture();
  /// Longest time that the call may wait before it starts.
  absl::Duration max_wait = absl::InfiniteDuration();
};

enum class admission_verdict : uint8_t { kStart, kQueued, kRefused };

/// What happens to a call. `reason` is set when the call is refused.
struct admission_decision {
  uint64_t call_id = 0;
  admission_verdict verdict = admission_verdict::kQueued;
  error_kind reason = error_kind::kOverloaded;
};

/// How a started call ended at the target.
enum class target_result : uint8_t { kAnswered, kShed, kFailed, kTimedOut, kCancelled };

}  // namespace teaseljunction
