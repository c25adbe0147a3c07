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
  cost.push_back({std::string(service), 0, 0, absl::InfiniteDuration()});
  return cost.back();
}

}  // namespace

void route_cost_table::Update(absl::string_view route, absl::Span<const service_cost> reported,
                              absl::Time now) {
  const auto [found, added] = costs_.try_emplace(route);
  known_cost& known = found->second;
  const absl::Duration elapsed = added ? absl::ZeroDuration() : now - known.updated_at;
  known.updated_at = now;
  if (added) {
    known.cost.assign(reported.begin(), reported.end());
    return;
  }
  // Services that are no longer reported decay to zero.
  for (service_cost& cost : known.cost) {
    cost.calls *= 1 - kUpdateWeight;
    cost.load_age += elapsed;
  }
  for (const service_cost& cost : reported) {
    service_cost& entry = FindOrAddCost(known.cost, cost.service);
    entry.calls += kUpdateWeight * cost.calls;
    entry.load = cost.load;
    entry.load_age = cost.load_age;
  }
}

absl::Span<const service_cost> route_cost_table::CostOf(absl::string_view route) const {
  const auto found = costs_.find(route);
  if (found == costs_.end()) return {};
  return found->second.cost;
}

route_cost route_cost_table::Compose(const service_cost& own, absl::Span<const call_ratio> ratios,
                                     absl::Time now) const {
  route_cost composed = {own};
  for (const call_ratio& ratio : ratios) {
    const auto child = costs_.find(ratio.child_route);
    if (child == costs_.end()) continue;
    for (const service_cost& child_cost : child->second.cost) {
      service_cost& entry = FindOrAddCost(composed, child_cost.service);
      entry.calls += ratio.calls * child_cost.calls;
      const absl::Duration age = child_cost.load_age + (now - child->second.updated_at);
      if (age >= entry.load_age) continue;
      entry.load = child_cost.load;
      entry.load_age = age;
    }
  }
  return composed;
}

}  // namespace teaseljunction
