#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "standin/control_endpoints.h"
#include "standin/standin_flags.h"
#include "standin/standin_json.h"

namespace teaseljunction {

// Guards against a test that runs with other faults than it asked for.
TEST_CASE("invalid changes are refused") {
  const std::vector<std::string> refused = {"slow",     "slow=",    "slow=-1",    "slow=nan",
                                            "fail=1.5", "fail=inf", "shed=maybe", "speed=1"};
  for (const std::string& query : refused) {
    INFO(query);
    CHECK(Capture<standin_change>([&] { return ParseChange(query); }).index() == 1);
  }
  const auto change =
      Capture<standin_change>([] { return ParseChange("slow=10&fail=0.5&shed=true"); });
  REQUIRE(change.index() == 0);
  CHECK(std::get<0>(change).slow == 10);
  CHECK(std::get<0>(change).fail_ratio == 0.5);
  CHECK(std::get<0>(change).shed == true);
}

// Guards against child calls that are left out silently.
TEST_CASE("chains are decoded or refused") {
  const auto chain =
      Capture<std::vector<child_call>>([] { return ParseChain("GET /stock/1, POST /orders"); });
  REQUIRE(chain.index() == 0);
  REQUIRE(std::get<0>(chain).size() == 2);
  CHECK(std::get<0>(chain)[1].method == "POST");
  CHECK(std::get<0>(chain)[1].path == "/orders");
  for (const std::string text : {"GET", "/stock", "get /stock", "GET stock", "GET /a b"}) {
    INFO(text);
    CHECK(Capture<std::vector<child_call>>([&] { return ParseChain(text); }).index() == 1);
  }
}

// Guards against an announcement that the daemon reads differently.
TEST_CASE("announcements have the documented form") {
  CHECK(EncodeAnnouncement({"orders", 1796117000123, 16, true, 0.5, "127.0.0.1:80"}) ==
        R"({"service":"orders","incarnation":1796117000123,"slots":16,"draining":true,)"
        R"("load":0.5,"address":"127.0.0.1:80"})");
}

}  // namespace teaseljunction
