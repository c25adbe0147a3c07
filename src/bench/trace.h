#pragma once

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/result.h"
#include "common/types.h"

namespace teaseljunction {

/// One service of a trace.
struct trace_service {
  std::string name;
  int targets = 0;
  int slots = 0;
  /// Time that a call holds its target, without child calls.
  absl::Duration work;
};

/// One kind of request: the services that it calls one after the other, each from the one before.
struct trace_route {
  std::string name;
  std::vector<std::string> chain;
  request_priority priority = request_priority::kNormal;
  bool idempotent = true;
  absl::Duration timeout;
  /// Part of all requests.
  double share = 0;
};

/// One client account.
struct trace_account {
  std::string name;
  /// Part of the demand.
  double share = 0;
  /// Permitted requests per second as a multiple of the account's demand at load 1.
  double rate_factor = 0;
};

/// A disturbance. Times are counted from the start of the trace.
struct trace_event {
  /// "slow" (work takes `value` times as long), "fail_fast" (target `target` fails in 1 ms),
  /// "restart" (all targets of the service start cold), "account_load" (account `name` sends
  /// `value` times its demand), "away" (data centre `target` is away), "crash" (a request that
  /// crashes its target arrives each `value` seconds).
  std::string kind;
  std::string name;
  int target = 0;
  double value = 0;
  absl::Duration begin;
  absl::Duration end;
};

/// A recorded workload. Arrivals follow from the seed, so that each replay has the same ones.
struct trace {
  std::string name;
  uint64_t seed = 1;
  int data_centres = 1;
  /// Delay between data centres and from the callers, one way.
  absl::Duration data_centre_delay;
  absl::Duration caller_delay;
  std::vector<trace_service> services;
  std::vector<trace_route> routes;
  std::vector<trace_account> accounts;
  /// Demand as a multiple of the capacity: in general and during the overload.
  double base_load = 0;
  double peak_load = 0;
  absl::Duration peak_begin;
  absl::Duration peak_end;
  absl::Duration duration;
  /// End of the disturbance, from which the recovery time counts.
  absl::Duration trigger_end;
  std::vector<trace_event> events;
  /// Immediate repeats by a caller after a failure.
  int caller_retries = 0;
};

/// Reads a trace file. Errors: kNotFound, kMalformedRequest with the place.
result<trace> ReadTrace(const std::string& path);

/// Returns the text of a trace file.
std::string WriteTrace(const trace& source);

/// Returns the traces of both reference deployments.
std::vector<trace> StandardTraces();

/// Requests per second at which the scarcest service is fully used.
double CapacityOf(const trace& source);

}  // namespace teaseljunction
