#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "standin/standin_endpoints.h"
#include "standin/standin_flags.h"
#include "standin/standin_json.h"

namespace teaseljunction {

// Guards against a test that runs with other faults than it requested.
TEST_CASE("invalid settings changes are refused") {
  const std::vector<std::string> refused = {"slow",     "slow=",    "slow=-1",    "slow=nan",
                                            "fail=1.5", "fail=inf", "shed=maybe", "speed=1"};
  for (const std::string& query : refused) {
    INFO(query);
    CHECK(Capture<standin_settings_change>([&] { return ParseSettingsChange(query); }).index() ==
          1);
  }
  const auto change = Capture<standin_settings_change>(
      [] { return ParseSettingsChange("slow=10&fail=0.5&shed=true"); });
  REQUIRE(change.index() == 0);
  CHECK(std::get<0>(change).slow_factor == 10);
  CHECK(std::get<0>(change).fail_ratio == 0.5);
  CHECK(std::get<0>(change).shed == true);
}

// Guards against child calls that are silently omitted.
TEST_CASE("call chains are parsed or refused") {
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

// Guards against an announcement format that the daemon does not accept.
TEST_CASE("announcements have the documented JSON format") {
  CHECK(EncodeAnnouncement({"orders", 1796117000123, 16, true, 0.5, "127.0.0.1:80"}) ==
        R"({"service":"orders","incarnation":1796117000123,"slots":16,"draining":true,)"
        R"("load":0.5,"address":"127.0.0.1:80"})");
}

}  // namespace teaseljunction
