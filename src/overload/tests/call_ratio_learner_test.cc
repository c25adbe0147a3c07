#include "overload/call_ratio_learner.h"

#include <catch2/catch.hpp>
#include <random>

#include "overload/route_cost_table.h"

namespace teaseljunction {
namespace {

double RatioOf(const call_ratio_learner& learner, absl::string_view route,
               absl::string_view child) {
  for (const call_ratio& ratio : learner.RatiosOf(route)) {
    if (ratio.child_route == child) return ratio.calls;
  }
  return 0;
}

}  // namespace

// Guards against the cost of the calls of one kind of request being put on another kind that the
// same target runs.
TEST_CASE("calls are attributed to the route whose runs make them") {
  call_ratio_learner learner;
  std::mt19937 random(5);
  absl::Time now = absl::UnixEpoch();
  for (int window = 0; window < 60; ++window) {
    const int tables = std::poisson_distribution<int>(150)(random);
    const int views = std::poisson_distribution<int>(20)(random);
    for (int i = 0; i < tables; ++i) learner.OnRun("table", now);
    for (int i = 0; i < views; ++i) learner.OnRun("view", now);
    for (int i = 0; i < 4 * tables; ++i) learner.OnCall("calendar", now);
    now += absl::Milliseconds(500);
  }
  CHECK(RatioOf(learner, "table", "calendar") == Approx(4).epsilon(0.1));
  CHECK(RatioOf(learner, "view", "calendar") < 1);
  CHECK(RatioOf(learner, "unknown", "calendar") == 0);
}

TEST_CASE("the cost of a route contains the calls at all depths") {
  route_cost_table orders;
  orders.Learn("table", {{"quoting", 1, 0.4}, {"cutting", 4, 0.9}});
  const route_cost status =
      orders.Compose({"orders", 1, 0.2}, std::vector<call_ratio>{{"table", 1}});
  REQUIRE(status.size() == 3);
  route_cost_table inventory;
  inventory.Learn("status", status);
  const route_cost lookup =
      inventory.Compose({"inventory", 1, 0.1}, std::vector<call_ratio>{{"status", 2}});
  double calendars = 0;
  for (const service_cost& cost : lookup) {
    if (cost.service == "cutting") calendars = cost.calls;
  }
  CHECK(calendars == Approx(8));
}

TEST_CASE("a service that a route no longer reaches fades out of its cost") {
  route_cost_table table;
  table.Learn("lookup", {{"stock", 1, 0}, {"cutting", 8, 0}});
  for (int i = 0; i < 40; ++i) table.Learn("lookup", {{"stock", 1, 0}});
  for (const service_cost& cost : table.CostOf("lookup")) {
    if (cost.service == "cutting") CHECK(cost.calls < 0.05);
    if (cost.service == "stock") CHECK(cost.calls == Approx(1));
  }
}

}  // namespace teaseljunction
