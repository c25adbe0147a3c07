#include "overload/call_ratio_estimator.h"

#include <catch2/catch.hpp>
#include <random>

#include "overload/route_cost_table.h"

namespace teaseljunction {
namespace {

double RatioOf(const call_ratio_estimator& estimator, absl::string_view route,
               absl::string_view child) {
  for (const call_ratio& ratio : estimator.ChildCallRatios(route)) {
    if (ratio.child_route == child) return ratio.calls;
  }
  return 0;
}

}  // namespace

// Guards against attributing the child calls of one kind of request to another kind that runs at
// the same target.
TEST_CASE("child calls are attributed to the route that makes them") {
  call_ratio_estimator estimator;
  std::mt19937 random(5);
  absl::Time now = absl::UnixEpoch();
  for (int window = 0; window < 60; ++window) {
    const int tables = std::poisson_distribution<int>(150)(random);
    const int views = std::poisson_distribution<int>(20)(random);
    for (int i = 0; i < tables; ++i) estimator.RecordExecution("table", now);
    for (int i = 0; i < views; ++i) estimator.RecordExecution("view", now);
    for (int i = 0; i < 4 * tables; ++i) estimator.RecordChildCall("calendar", now);
    now += absl::Milliseconds(500);
  }
  CHECK(RatioOf(estimator, "table", "calendar") == Approx(4).epsilon(0.1));
  CHECK(RatioOf(estimator, "view", "calendar") < 1);
  CHECK(RatioOf(estimator, "unknown", "calendar") == 0);
}

TEST_CASE("the cost of a route includes calls at all depths") {
  route_cost_table orders;
  orders.Update("table", {{"quoting", 1, 0.4}, {"cutting", 4, 0.9}});
  const route_cost status =
      orders.Compose({"orders", 1, 0.2}, std::vector<call_ratio>{{"table", 1}});
  REQUIRE(status.size() == 3);
  route_cost_table inventory;
  inventory.Update("status", status);
  const route_cost lookup =
      inventory.Compose({"inventory", 1, 0.1}, std::vector<call_ratio>{{"status", 2}});
  double cutting_calls = 0;
  for (const service_cost& cost : lookup) {
    if (cost.service == "cutting") cutting_calls = cost.calls;
  }
  CHECK(cutting_calls == Approx(8));
}

TEST_CASE("the cost at a service that a route no longer reaches decays") {
  route_cost_table table;
  table.Update("lookup", {{"stock", 1, 0}, {"cutting", 8, 0}});
  for (int i = 0; i < 40; ++i) table.Update("lookup", {{"stock", 1, 0}});
  for (const service_cost& cost : table.CostOf("lookup")) {
    if (cost.service == "cutting") CHECK(cost.calls < 0.05);
    if (cost.service == "stock") CHECK(cost.calls == Approx(1));
  }
}

}  // namespace teaseljunction
