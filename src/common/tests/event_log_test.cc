#include "common/event_log.h"

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

namespace teaseljunction {

TEST_CASE("a small fraction of requests is sampled deterministically") {
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

// Guards against failures that cannot be diagnosed because sampling removed their line.
TEST_CASE("failures are logged for every request, successes for sampled requests only") {
  std::string other = "r";
  while (IsSampledRequest(other)) other.push_back('r');
  CHECK(WantsCallLog(call_event::kRefused, other));
  CHECK(WantsCallLog(call_event::kTargetRefused, other));
  CHECK_FALSE(WantsCallLog(call_event::kAnswered, other));
}

}  // namespace teaseljunction
