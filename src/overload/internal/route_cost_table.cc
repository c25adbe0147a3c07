#include "overload/route_cost_table.h"

#include <algorithm>

namespace teaseljunction {
namespace {

/// Weight of a new report in the moving average.
constexpr double kUpdateWeight = 0.2;

service_cost& FindOrAddCost(route_cost& cost, absl::string_view service) {
  const auto found = std::find_if(cost.begin(), cost.end(), [&](const service_cost& known) {
    return known.service == service;
  });
  if (found != cost.end()) return *found;
  cost.push_back({std::string(service), 0, 0});
  return cost.back();
}

}  // namespace

void route_cost_table::Update(absl::string_view route, absl::Span<const service_cost> reported) {
  const auto [found, added] = costs_.try_emplace(route, reported.begin(), reported.end());
  if (added) return;
  route_cost& known = found->second;
  // Services that are no longer reported decay to zero.
  for (service_cost& cost : known) cost.calls *= 1 - kUpdateWeight;
  for (const service_cost& cost : reported) {
    service_cost& entry = FindOrAddCost(known, cost.service);
    entry.calls += kUpdateWeight * cost.calls;
    entry.load = cost.load;
  }
}

absl::Span<const service_cost> route_cost_table::CostOf(absl::string_view route) const {
  const auto found = costs_.find(route);
  if (found == costs_.end()) return {};
  return found->second;
}

route_cost route_cost_table::Compose(const service_cost& own,
                                     absl::Span<const call_ratio> ratios) const {
  route_cost composed = {own};
  for (const call_ratio& ratio : ratios) {
    for (const service_cost& child_cost : CostOf(ratio.child_route)) {
      service_cost& entry = FindOrAddCost(composed, child_cost.service);
      entry.calls += ratio.calls * child_cost.calls;
      if (child_cost.service != own.service) entry.load = child_cost.load;
    }
  }
  return composed;
}

}  // namespace teaseljunction
