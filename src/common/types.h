#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"

namespace teaseljunction {

/// Priority of a request. A lower value is more important and is shed later.
enum class request_priority : uint8_t { kCritical = 0, kHigh = 1, kNormal = 2, kLow = 3 };

/// Number of priorities, for tables indexed by priority.
constexpr int kPriorityCount = 4;

/// Returns the name used in manifests, logs and metrics: "critical", "high", "normal", "low".
absl::string_view PriorityName(request_priority priority);

/// Returns the priority with this name, or nothing when the name is unknown.
absl::optional<request_priority> ParsePriority(absl::string_view name);

/// Number of cohorts. Requests of one priority are divided into cohorts by hash, so that a part of
/// them can be shed with the same result at every hop.
constexpr int kCohortCount = 128;

/// Admission threshold of a target. A request is refused when its priority is less important than
/// `priority`, or when the priority is equal and its cohort is `cohort` or above. The default
/// admits everything.
struct overload_level {
  request_priority priority = request_priority::kLow;
  uint8_t cohort = kCohortCount;

  /// True when a request of this priority and cohort is admitted.
  bool Admits(request_priority request, uint8_t request_cohort) const {
    if (request != priority) return request < priority;
    return request_cohort < cohort;
  }
  bool operator==(const overload_level&) const = default;
};

/// Returns the cohort of a request, in [0, kCohortCount). Child calls keep the cohort of the entry
/// request.
uint8_t CohortOf(absl::string_view client_account, absl::string_view request_id);

/// One HTTP header. Names compare without case.
struct http_header {
  std::string name;
  std::string value;
};

/// Returns the value of the first header with this name, or nothing.
absl::optional<absl::string_view> FindHeader(const std::vector<http_header>& headers,
                                             absl::string_view name);

/// A request as it is dispatched to a target.
struct call {
  /// Identifies the entry request in logs of all hops.
  std::string request_id;
  std::string service;
  std::string method;
  /// Path with query, as received.
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  /// Empty on routes that are open to all.
  std::string client_account;
  request_priority priority = request_priority::kNormal;
  uint8_t cohort = 0;
  /// Number of hops above this call; 0 for an entry request.
  uint32_t depth = 0;
  /// Attempts that the target's own child calls may use in total.
  uint32_t attempt_budget = 0;
  /// Time left until the deadline, measured when the call is sent.
  absl::Duration time_left;
  /// True when the call may be run more than once.
  bool idempotent = true;
  /// Identity of a non-idempotent request, empty otherwise.
  std::string identity;
  /// Digest of account, method, path and body, used to recognise requests that crash targets.
  std::string fingerprint;
  /// Name of the route.
  std::string route;
  /// Longest time that the call may wait for its target.
  absl::Duration max_wait = absl::InfiniteDuration();
  /// Time within which the caller wants its answer. Known at the entry daemon only.
  absl::Duration target_latency = absl::InfiniteDuration();
  /// True when the client account has a rate. Known at the entry daemon only.
  bool limited = true;
};

/// The answer of a target.
struct call_answer {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
};

}  // namespace teaseljunction
