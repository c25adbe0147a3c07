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

/// How calls are controlled in a replay.
struct replay_policy {
  absl::string_view name;
  /// Admission at the target: adaptive control, a fixed limit with a first-in-first-out queue, or
  /// none.
  enum class gate_kind { kAdaptive, kFixed, kOpen } gate;
  /// True when targets are chosen by the balancer, otherwise at random.
  bool balanced;
  /// Retries at each hop for any failure; unused with `balanced`.
  int hop_retries;
  /// True when a call whose caller has given up is cancelled at its target.
  bool cancels;
};

/// The policies that every trace is replayed with. The first one is the product.
absl::Span<const replay_policy> ReplayPolicies();

/// The users' four measures for one trace and policy.
struct replay_report {
  std::string trace;
  std::string policy;
  uint64_t requests = 0;
  /// Whole requests per second between the begin and the end of the disturbance.
  double goodput = 0;
  /// Goodput as a share of what demand and capacity allow.
  double goodput_share = 0;
  /// Seconds from the end of the disturbance until at least 99 % of requests succeed for good;
  /// negative when that is not reached within the trace.
  double recovery_seconds = -1;
  /// The lowest share that a client account got of its max-min fair part.
  double worst_account_share = 0;
  /// Share of the requests of accounts inside their rate that failed although capacity existed.
  double wrongful_refusals = 0;
  /// Share of requests that succeeded during the disturbance, per priority; negative without any.
  std::array<double, kPriorityCount> success = {};
  /// Failed entry requests, repeats by callers included, per error kind and priority.
  std::map<std::pair<error_kind, request_priority>, uint64_t> failures;
  /// Most attempts that one request caused at all depths together.
  int max_attempts = 0;
};

/// Replays a trace with a virtual clock, the real decision parts and fake targets.
replay_report Replay(const trace& source, const replay_policy& policy);

}  // namespace teaseljunction
