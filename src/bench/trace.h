#pragma once

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/result.h"
#include "common/types.h"

namespace teaseljunction {

/// A service of a trace.
struct trace_service {
  std::string name;
  int targets = 0;
  /// Concurrent calls per target.
  int slots = 0;
  /// Mean processing time of a call at its target, without child calls.
  absl::Duration work;
};

/// A kind of request.
struct trace_route {
  std::string name;
  /// Services that are called, each by the one before it.
  std::vector<std::string> chain;
  request_priority priority = request_priority::kNormal;
  bool idempotent = true;
  absl::Duration timeout;
  /// Share of all requests, 0 to 1.
  double share = 0;
};

/// A client account.
struct trace_account {
  std::string name;
  /// Share of the demand, 0 to 1.
  double share = 0;
  /// Permitted rate as a multiple of the account's demand at load 1.
  double rate_factor = 0;
};

/// A disturbance. Times count from the start of the trace.
struct trace_event {
  /// One of:
  /// - "slow": calls of service `name` take `value` times as long
  /// - "fail_fast": target number `target` of service `name` fails each call after 1 ms
  /// - "restart": all targets of service `name` restart cold at `begin`
  /// - "account_load": account `name` sends `value` times its demand
  /// - "away": data centre `target` is unreachable
  /// Other kinds are ignored.
  std::string kind;
  std::string name;
  int target = 0;
  double value = 0;
  absl::Duration begin;
  absl::Duration end;
};

/// Description of a workload. Arrivals are generated from the seed, so that each replay has the
/// same ones. Times count from the start of the trace.
struct trace {
  std::string name;
  uint64_t seed = 1;
  int data_centres = 1;
  /// One-way network delays between data centres, and between callers and daemons.
  absl::Duration data_centre_delay;
  absl::Duration caller_delay;
  std::vector<trace_service> services;
  std::vector<trace_route> routes;
  std::vector<trace_account> accounts;
  /// Demand as a multiple of the capacity, outside and during the peak.
  double base_load = 0;
  double peak_load = 0;
  absl::Duration peak_begin;
  absl::Duration peak_end;
  absl::Duration duration;
  /// End of the disturbance; the recovery time counts from here.
  absl::Duration disturbance_end;
  std::vector<trace_event> events;
  /// Retries by a caller after a failure, each after a short fixed delay.
  int caller_retries = 0;
};

/// Reads a trace file. Fails with kNotFound when it cannot be opened, and with kMalformedRequest
/// when it is not JSON or a field is missing or of the wrong type.
result<trace> ReadTrace(const std::string& path);

/// Returns the content of a trace file as JSON.
std::string FormatTrace(const trace& source);

/// Returns the standard traces of both reference deployments.
std::vector<trace> StandardTraces();

/// Returns the request rate per second at which the bottleneck service is fully utilised.
double CapacityOf(const trace& source);

}  // namespace teaseljunction
