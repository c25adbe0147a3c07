#pragma once

#include <string>
#include <vector>

namespace teaseljunction {

/// What one request of a route costs at one service, itself and all calls below it together.
struct service_cost {
  std::string service;
  /// Calls that the service gets for one request.
  double calls = 0;
  /// Load of the service's targets: calls that run or wait in relation to what they can run.
  double pressure = 0;
  bool operator==(const service_cost&) const = default;
};

using route_cost = std::vector<service_cost>;

/// Calls of one route that a run of another route makes, on average.
struct call_ratio {
  std::string child_route;
  double calls = 0;
};

}  // namespace teaseljunction
