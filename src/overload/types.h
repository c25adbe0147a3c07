#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"

namespace teaseljunction {

/// Cost of one request of a route at one service, including all child calls below it.
struct service_cost {
  std::string service;
  /// Number of calls that the service receives per request.
  double calls = 0;
  /// Load of the service's targets: running and waiting calls divided by the concurrency limit.
  double load = 0;
  /// Time from the measurement of the load to this report.
  absl::Duration load_age;
  bool operator==(const service_cost&) const = default;
};

using route_cost = std::vector<service_cost>;

/// Average number of calls of `child_route` made by one execution of another route.
struct call_ratio {
  std::string child_route;
  double calls = 0;
};

/// A service without capacity for a new request.
struct capacity_shortage {
  std::string service;
  /// Time after which a request of the same rank is expected to find capacity.
  absl::Duration room_expected_in;
};

/// State of `capacity_plan` for one service. Flows are in calls per second.
struct plan_status {
  std::string service;
  double load = 0;
  absl::Duration load_age;
  /// Estimated flow from this daemon at which the load of the service is 1; 0 while unknown.
  double share = 0;
  double offered = 0;
  double admitted = 0;
  /// Position on the scale of ranks from which on requests are refused, in priorities.
  double cut = 0;
};

}  // namespace teaseljunction
