#include "gateway/target_selector.h"

#include <catch2/catch.hpp>

#include "gateway/tests/mocks/fake_dependencies.h"

namespace teaseljunction {

// Guards against a switch of the overload control that reaches only the services known before it or
// only those that come later, and against a daemon that looks idle because it did not answer.
TEST_CASE("planned overload control applies to services known before and after the switch") {
  seeded_random_source random(3);
  target_selector selector("entry", "here", random);
  absl::Time now = absl::FromUnixSeconds(1000);
  std::vector<balancer_target> targets;
  for (const char* service : {"early", "late"}) {
    for (const char* place : {"here", "there"}) {
      balancer_target target;
      target.service = service;
      target.data_centre = place;
      target.daemon_id = std::string(service) + place;
      target.slots = 10;
      targets.push_back(target);
    }
  }
  selector.SetTargets(absl::MakeSpan(targets).first(2), now);
  CHECK(selector.FormatPrometheus().empty());
  selector.SetOverloadControl(overload_control_mode::kPlanned);
  selector.SetTargets(targets, now);
  call request;
  for (int i = 0; i < 2000; ++i) {
    now += absl::Milliseconds(1);
    for (const char* service : {"early", "late"}) {
      request.service = service;
      const auto chosen = selector.ChooseTarget(request, {}, now);
      REQUIRE(chosen);
      selector.OnAttemptStarted(service, chosen->daemon_id, now);
      const bool failed = chosen->other_data_centre && i % 10 == 0;
      selector.OnAttemptFinished(service, chosen->daemon_id,
                                 failed ? attempt_result::kFailed : attempt_result::kAnswered,
                                 absl::Milliseconds(1), {}, now);
      const double load = chosen->other_data_centre ? 0.4 : 1.5;
      selector.ReportLoad(service, chosen->daemon_id, failed ? 0 : load, now);
    }
  }
  const std::string report = selector.FormatPrometheus();
  for (const char* line : {"teaseljunction_remote_share{service=\"early\"} 0.",
                           "teaseljunction_remote_share{service=\"late\"} 0.",
                           "teaseljunction_local_load{service=\"early\"} 1.5",
                           "teaseljunction_remote_load{service=\"late\"} 0.4"}) {
    CAPTURE(line, report);
    CHECK(report.find(line) != std::string::npos);
  }
  selector.SetOverloadControl(overload_control_mode::kReactive);
  CHECK(selector.FormatPrometheus().empty());
}

}  // namespace teaseljunction
