#include "overload/call_ratio_estimator.h"

#include <catch2/catch.hpp>
#include <random>

#include "overload/route_cost_table.h"
#include "overload/running_executions.h"

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
    for (int i = 0; i < 4 * tables; ++i) estimator.RecordChildCall("calendar", "", now);
    now += absl::Milliseconds(500);
  }
  CHECK(RatioOf(estimator, "table", "calendar") == Approx(4).epsilon(0.1));
  CHECK(RatioOf(estimator, "view", "calendar") < 1);
  CHECK(RatioOf(estimator, "unknown", "calendar") == 0);
}

// Guards against refusing requests for the load of a service that they never reach: an estimate
// from numbers per window gave some of the calls to "points", which makes none.
TEST_CASE("child calls of a known parent are counted for its route only") {
  call_ratio_estimator estimator;
  std::mt19937 random(5);
  absl::Time now = absl::UnixEpoch();
  double largest = 0;
  for (int window = 0; window < 100; ++window) {
    const int demand = std::poisson_distribution<int>(4)(random);
    const int points = std::poisson_distribution<int>(2 * demand)(random);
    const int maps = std::poisson_distribution<int>(4 * demand)(random);
    for (int i = 0; i < points; ++i) estimator.RecordExecution("points", now);
    for (int i = 0; i < maps; ++i) estimator.RecordExecution("map", now);
    for (int i = 0; i < 5 * maps; ++i) estimator.RecordChildCall("truck", "map", now);
    now += absl::Milliseconds(500);
    if (window > 20) largest = std::max(largest, RatioOf(estimator, "points", "truck"));
  }
  CHECK(largest == 0);
  CHECK(RatioOf(estimator, "map", "truck") == Approx(5));
  // Until the route is seen again, nothing is known of it.
  estimator.RecordExecution("other", now + absl::Seconds(1));
  CHECK(RatioOf(estimator, "other", "truck") == 0);
}

TEST_CASE("the parent of a call is found by the request id that its id is derived from") {
  running_executions executions;
  executions.Add("4bf92f", "calendar", {request_priority::kLow, 7, 0});
  executions.Add("4bf92f.1", "balance", {request_priority::kHigh, 7, 1});
  executions.Add("a3ce92", "route", {});
  CHECK(executions.RouteOfParent("4bf92f.2") == "calendar");
  CHECK(executions.RouteOfParent("4bf92f.1.7") == "balance");
  CHECK(executions.RankOfParent("4bf92f.1.7") == call_rank{request_priority::kHigh, 7, 1});
  CHECK_FALSE(executions.RankOfParent("4bf92f.2.1"));
  // Neither the id of an execution, nor one of another target's execution, nor a mere prefix.
  CHECK(executions.RouteOfParent("4bf92f").empty());
  CHECK(executions.RouteOfParent("4bf92f.2.1").empty());
  CHECK(executions.RouteOfParent("4bf92f1").empty());
  CHECK(executions.RouteOfParent("").empty());
  // The same request runs twice.
  executions.Add("a3ce92", "route", {});
  executions.Remove("a3ce92");
  CHECK(executions.RouteOfParent("a3ce92.1") == "route");
  executions.Remove("a3ce92");
  CHECK(executions.RouteOfParent("a3ce92.1").empty());
  executions.Remove("unknown");
}

// Guards against a cohort of its own for each call of a request, which would fail nearly every
// request as soon as a service refuses a part of its calls.
TEST_CASE("the calls below a request share its cohort and keep the order of the requests") {
  const call_rank lookup = RankOfChildCall({request_priority::kLow, 9, 0});
  const call_rank order = RankOfChildCall({request_priority::kHigh, 200, 0});
  CHECK(lookup == call_rank{request_priority::kHigh, 9, 1});
  CHECK(order == call_rank{request_priority::kCritical, 200, 1});
  CHECK(RankOfChildCall(lookup) == call_rank{request_priority::kHigh, 9, 2});
  CHECK(RankOfChildCall(RankOfChildCall(order)) == call_rank{request_priority::kCritical, 200, 3});
}

TEST_CASE("the cost of a route includes calls at all depths") {
  route_cost_table orders;
  const absl::Time now = absl::UnixEpoch();
  orders.Update("table", {{"quoting", 1, 0.4, {}}, {"cutting", 4, 0.9, {}}}, now);
  const route_cost status =
      orders.Compose({"orders", 1, 0.2, {}}, std::vector<call_ratio>{{"table", 1}}, now);
  REQUIRE(status.size() == 3);
  route_cost_table inventory;
  inventory.Update("status", status, now);
  const route_cost lookup =
      inventory.Compose({"inventory", 1, 0.1, {}}, std::vector<call_ratio>{{"status", 2}}, now);
  double cutting_calls = 0;
  for (const service_cost& cost : lookup) {
    if (cost.service == "cutting") cutting_calls = cost.calls;
  }
  CHECK(cutting_calls == Approx(8));
}

TEST_CASE("the cost at a service that a route no longer reaches decays") {
  route_cost_table table;
  const absl::Time now = absl::UnixEpoch();
  table.Update("lookup", {{"stock", 1, 0, {}}, {"cutting", 8, 0, {}}}, now);
  for (int i = 0; i < 40; ++i) table.Update("lookup", {{"stock", 1, 0, {}}}, now);
  for (const service_cost& cost : table.CostOf("lookup")) {
    if (cost.service == "cutting") CHECK(cost.calls < 0.05);
    if (cost.service == "stock") CHECK(cost.calls == Approx(1));
  }
}

}  // namespace teaseljunction
