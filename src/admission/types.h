#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/error_kind.h"
#include "common/types.h"

namespace teaseljunction {

/// A call that is submitted for admission to a target.
struct admission_request {
  /// Unique within the daemon.
  uint64_t call_id = 0;
  request_priority priority = request_priority::kNormal;
  /// From 0 to kCohortCount - 1; see `CohortOf`.
  uint8_t cohort = 0;
  /// Number of hops above this call. A deeper call represents more work already done.
  uint32_t depth = 0;
  std::string client_account;
  /// Memory that the call uses while it is queued, in bytes.
  size_t size_bytes = 0;
  absl::Time deadline = absl::InfiniteFuture();
  /// Longest time that the call may be queued.
  absl::Duration max_wait = absl::InfiniteDuration();
  /// True for a call that is refused only for its deadline or for the limits of the queue: levels,
  /// `max_wait` and the age in the queue do not apply to it.
  bool carried = false;
};

/// Outcome of an admission decision.
enum class admission_verdict : uint8_t { kStarted, kQueued, kRefused };

/// Decision about one call.
struct admission_decision {
  uint64_t call_id = 0;
  admission_verdict verdict = admission_verdict::kQueued;
  /// Meaningful for kRefused only.
  error_kind reason = error_kind::kOverloaded;
};

/// How a started call ended. kShed: the target refused to run it.
enum class target_result : uint8_t { kAnswered, kShed, kFailed, kTimedOut, kCancelled };

}  // namespace teaseljunction
