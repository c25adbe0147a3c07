#include "cli/request_trace.h"

#include <catch2/catch.hpp>

namespace teaseljunction {
namespace {

const char* const kLines[] = {
    "2026-01-01T00:00:01.090 event=refused request=r1 reason=outcome-unknown detail=\"two words\"",
    "2026-01-01T00:00:01.000 event=sent request=r1 service=stock attempt=1",
    "2026-01-01T00:00:00.900 event=started request=r1 target=i-1 queued_ms=0.0",
    "2026-01-01T00:00:00.950 event=caller_gone request=r1.c7 service=orders held_ms=40.0",
    "2026-01-01T00:00:00.950 event=sent request=r12 service=stock attempt=1",
    "2026-01-01T00:00:00.950 INFO membership: the directory has 12 daemons at version 12.",
};

std::vector<trace_step> Steps() {
  std::vector<trace_step> steps;
  for (const char* line : kLines) {
    auto step = ParseTraceLine("d1.log", line, "r1");
    if (step) steps.push_back(*std::move(step));
  }
  return OrderByCause(std::move(steps));
}

}  // namespace

// Guards against including a request whose id has the same prefix, and against sorting by the
// clocks of different hosts.
TEST_CASE("steps of a request are sorted causally") {
  const std::vector<trace_step> steps = Steps();
  REQUIRE(steps.size() == 4);
  CHECK(steps[0].event == "sent");
  CHECK(steps[1].event == "started");
  CHECK(steps[2].event == "refused");
  CHECK(steps[3].request_id == "r1.c7");
  CHECK(steps[3].depth == 1);
}

TEST_CASE("quoted values are parsed completely and truncated lines are tolerated") {
  const std::vector<trace_step> steps = Steps();
  REQUIRE(steps[2].fields.size() == 2);
  CHECK(steps[2].fields[1].second == "two words");
  CHECK(steps[2].time == "2026-01-01T00:00:01.090");
  for (const char* line : kLines) {
    const std::string text = line;
    for (size_t size = 0; size < text.size(); ++size) {
      ParseTraceLine("d1.log", text.substr(0, size), "r1");
    }
  }
  CHECK(ParseTraceLine("d1.log", "event=", "r1") == absl::nullopt);
}

TEST_CASE("the JSON output has one object per step") {
  const std::string json = EncodeTrace(Steps());
  CHECK(json.find("\"reason\": \"outcome-unknown\"") != std::string::npos);
  CHECK(json.front() == '[');
}

}  // namespace teaseljunction
