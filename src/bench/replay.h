#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/types/span.h"
#include "bench/trace.h"

namespace teaseljunction {

/// Load control used in a replay.
struct replay_policy {
  /// Name in reports and on the command line.
  absl::string_view name;
  /// Admission control at the target: adaptive, a fixed concurrency limit with a FIFO queue, or
  /// none.
  enum class admission_kind { kAdaptive, kFixedLimit, kUnlimited } admission;
  /// True when the balancer selects targets and client account rates are enforced; false when
  /// targets are selected at random and rates are not enforced.
  bool uses_balancer;
  /// Retries at each hop, after any failure. Ignored with `uses_balancer`.
  int max_retries_per_hop;
  /// True when a call that its caller has abandoned is cancelled at the target.
  bool cancels_abandoned_calls;
};

/// Returns the policies that every trace is replayed with. The first is Teaseljunction itself, the
/// others are baselines.
absl::Span<const replay_policy> ReplayPolicies();

/// Metrics of one trace replayed with one policy.
struct replay_report {
  std::string trace;
  std::string policy;
  uint64_t requests = 0;
  /// Successful requests per second during the disturbance.
  double goodput_per_second = 0;
  /// Goodput as a share of the maximum that demand and capacity allow, 0 to 1.
  double goodput_share = 0;
  /// Seconds from the end of the disturbance until the success rate stays at or above 99 %;
  /// negative when the trace ends before that.
  double recovery_seconds = -1;
  /// Lowest ratio of served requests to the max-min fair share over all client accounts.
  double worst_account_share = 0;
  /// Share of requests that failed although there was enough capacity for them.
  double wrongful_refusals = 0;
  /// Success rate during the disturbance per priority, over requests of accounts within their rate;
  /// negative when there were none.
  std::array<double, kPriorityCount> success = {};
  /// Failed entry requests per error kind and priority, including retries by callers.
  std::map<std::pair<error_kind, request_priority>, uint64_t> failures;
  /// Highest number of attempts that one request caused, summed over all hops.
  int max_attempts = 0;
};

/// Replays a trace in virtual time with the production decision components and simulated targets.
/// The result is the same in each run.
replay_report Replay(const trace& source, const replay_policy& policy);

}  // namespace teaseljunction
