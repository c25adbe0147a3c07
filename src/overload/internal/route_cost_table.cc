#include "overload/route_cost_table.h"

#include <algorithm>

namespace teaseljunction {
namespace {

/// Weight of a new value in the average.
constexpr double kWeight = 0.2;

service_cost& Entry(route_cost& cost, absl::string_view service) {
  const auto found = std::find_if(cost.begin(), cost.end(), [&](const service_cost& known) {
    return known.service == service;
  });
  if (found != cost.end()) return *found;
  cost.push_back({std::string(service), 0, 0});
  return cost.back();
}

}  // namespace

void route_cost_table::Learn(absl::string_view route, absl::Span<const service_cost> told) {
  const auto [found, added] = costs_.try_emplace(route, told.begin(), told.end());
  if (added) return;
  route_cost& known = found->second;
  // Services that are no longer told fade out.
  for (service_cost& cost : known) cost.calls *= 1 - kWeight;
  for (const service_cost& cost : told) {
    service_cost& entry = Entry(known, cost.service);
    entry.calls += kWeight * cost.calls;
    entry.pressure = cost.pressure;
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
    for (const service_cost& below : CostOf(ratio.child_route)) {
      service_cost& entry = Entry(composed, below.service);
      entry.calls += ratio.calls * below.calls;
      if (below.service != own.service) entry.pressure = below.pressure;
    }
  }
  return composed;
}

}  // namespace teaseljunction
