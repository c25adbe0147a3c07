#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/shared_text.h"

namespace teaseljunction {

/// Priority of a request. Requests with a lower value are more important and are shed later.
enum class request_priority : uint8_t { kCritical = 0, kHigh = 1, kNormal = 2, kLow = 3 };

/// Number of priorities, for tables indexed by priority.
constexpr int kPriorityCount = 4;

/// Returns the name as used in manifests, logs and metrics: "critical", "high", "normal", "low".
absl::string_view PriorityName(request_priority priority);

/// Returns the priority with this name, or nothing if the name is unknown.
absl::optional<request_priority> ParsePriority(absl::string_view name);

/// Number of cohorts. Requests of the same priority are divided into cohorts by a hash, so that a
/// fraction of them can be shed with the same decision at every hop.
constexpr int kCohortCount = 128;

/// Admission threshold of a target. A request is refused if its priority is less important than
/// `priority`, or if the priorities are equal and its cohort is `cohort` or above. The default
/// admits all requests.
struct overload_level {
  request_priority priority = request_priority::kLow;
  uint8_t cohort = kCohortCount;

  /// Returns true if a request of this priority and cohort is admitted.
  bool Admits(request_priority request, uint8_t request_cohort) const {
    if (request != priority) return request < priority;
    return request_cohort < cohort;
  }
  bool operator==(const overload_level&) const = default;
};

/// Returns the cohort of a request, in [0, kCohortCount). Child calls keep the cohort of the entry
/// request.
uint8_t CohortOf(absl::string_view client_account, absl::string_view request_id);

/// Returns whether `status` is that of a final HTTP response, from 200 to 599.
constexpr bool IsFinalStatus(int status) { return status >= 200 && status < 600; }

/// An HTTP header. Names are case-insensitive.
struct http_header {
  std::string name;
  std::string value;
};

/// Returns the value of the first header with this name, or nothing. It refers to `headers`.
absl::optional<absl::string_view> FindHeader(const std::vector<http_header>& headers,
                                             absl::string_view name);

/// A request as dispatched to a target.
struct call {
  /// Identifies the entry request in the logs of all hops.
  std::string request_id;
  std::string service;
  std::string method;
  /// Path and query, as received.
  std::string path;
  std::vector<http_header> headers;
  /// Shared by the copies of the call, because each attempt needs one.
  shared_text body;
  /// Empty on routes that need no key.
  std::string client_account;
  request_priority priority = request_priority::kNormal;
  uint8_t cohort = 0;
  /// Number of hops from the entry request to this call; 0 for an entry request.
  uint32_t depth = 0;
  /// Total number of attempts that the child calls of the target may use.
  uint32_t attempt_budget = 0;
  /// Time remaining until the deadline at the moment the call is sent.
  absl::Duration time_left;
  /// True if the call may be executed more than once.
  bool idempotent = true;
  /// Identity of a non-idempotent request, otherwise empty.
  std::string identity;
  /// Digest of account, method, path and body; identifies requests that crash targets.
  std::string fingerprint;
  /// Name of the route.
  std::string route;
  /// Maximum time that the call may wait for its target.
  absl::Duration max_wait = absl::InfiniteDuration();
  /// Latency within which the caller expects the answer. Set at the entry daemon only.
  absl::Duration target_latency = absl::InfiniteDuration();
  /// True if the client account has a rate. Set at the entry daemon only.
  bool limited = true;
};

/// The answer of a target.
struct call_answer {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
};

}  // namespace teaseljunction
