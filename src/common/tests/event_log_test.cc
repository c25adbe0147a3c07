#include "common/event_log.h"

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

namespace teaseljunction {

TEST_CASE("a small part of the requests is sampled, the same ones each time") {
  int sampled = 0;
  const int requests = 10'000;
  for (int i = 0; i < requests; ++i) {
    const std::string id = absl::StrCat("request-", i);
    if (IsSampledRequest(id)) ++sampled;
    CHECK(IsSampledRequest(id) == IsSampledRequest(id));
  }
  CHECK(sampled > requests / 200);
  CHECK(sampled < requests / 20);
}

// Guards against failures that cannot be explained because their line was sampled away.
TEST_CASE("failures are written for every request, successes for sampled ones") {
  std::string other = "r";
  while (IsSampledRequest(other)) other.push_back('r');
  CHECK(WantsCallLog(call_event::kRefused, other));
  CHECK(WantsCallLog(call_event::kTargetRefused, other));
  CHECK_FALSE(WantsCallLog(call_event::kAnswered, other));
}

}  // namespace teaseljunction
