#include "daemon/target_probe.h"

#include <catch2/catch.hpp>

#include "gateway/tests/mocks/target_executor_environment.h"

namespace teaseljunction {
namespace {

struct probe_fixture : target_executor_environment {
  local_target_settings target{"127.0.0.1:1", "stock"};
  int found = 0;
  target_probe probe{probe_dependencies{time, time, client, executor, headers}, target,
                     [this] { ++found; }};

  probe_fixture() {
    headers.reported_target_id = "Id";
    headers.reported_load = "Load";
  }

  void Respond(int status, std::vector<http_header> answered) {
    client.End(client.last_id, http_response{status, std::move(answered), ""});
  }
};

}  // namespace

// Guards against a restarted daemon that refuses calls to its target until the target's next
// announcement.
TEST_CASE("a healthy target is found when the daemon starts") {
  probe_fixture fixture;
  fixture.probe.Start("/healthz");
  CHECK(fixture.client.last_path == "/healthz");
  fixture.Respond(200, {{"Id", "i-1"}, {"Load", "3,0,8"}});
  CHECK(fixture.found == 1);
  REQUIRE(fixture.executor.CurrentTarget());
  CHECK(fixture.executor.CurrentTarget()->target_id == "i-1");
  CHECK(fixture.executor.CurrentTarget()->slots == 8);
  // Another health path does not restart the probe.
  fixture.probe.Start("/other");
  fixture.time.AdvanceBy(absl::Seconds(10));
  CHECK(fixture.client.last_id == 1);
}

// Guards against a probe response that is taken as the answer to a call, and the reverse.
TEST_CASE("a probe has a connection of its own") {
  probe_fixture fixture;
  fixture.probe.Start("/healthz");
  CHECK(fixture.client.last_request.own_connection);
}

// Guards against calls to a target that is unhealthy, has no id, or does not report its slots.
TEST_CASE("probes are repeated for a short time after an unusable response") {
  struct response_case {
    int status;
    std::vector<http_header> headers;
  };
  const response_case cases[] = {{503, {{"Id", "i-1"}, {"Load", "3,0,8"}}},
                                 {200, {{"Load", "3,0,8"}}},
                                 {200, {{"Id", "i-1"}}},
                                 {200, {{"Id", "i-1"}, {"Load", "3,0"}}},
                                 {200, {{"Id", "i-1"}, {"Load", "3,0,-8"}}},
                                 {200, {{"Id", "i-1"}, {"Load", "3,0,4294967295"}}},
                                 {200, {{"Id", "i\r\n1"}, {"Load", "3,0,8"}}},
                                 {200, {{"Id", std::string(300, 'i')}, {"Load", "3,0,8"}}}};
  for (const response_case& unusable : cases) {
    probe_fixture fixture;
    fixture.probe.Start("/healthz");
    while (!fixture.client.open.empty()) {
      fixture.Respond(unusable.status, unusable.headers);
      fixture.time.AdvanceBy(absl::Milliseconds(260));
    }
    CHECK(fixture.client.last_id > 5);
    CHECK(fixture.client.last_id < 20);
    CHECK_FALSE(fixture.executor.CurrentTarget());
  }
}

// Guards against needless probes, which cost the target processor time.
TEST_CASE("no probe is sent without a path or after an announcement") {
  probe_fixture fixture;
  fixture.probe.Start("");
  fixture.executor.HandleAnnouncement({"stock", 1, 8, false, 0, "127.0.0.1:1"});
  fixture.probe.Start("/healthz");
  CHECK(fixture.client.last_id == 0);
}

namespace {

/// A daemon that has restarted beside a target that had announced itself before.
struct restarted_fixture : probe_fixture {
  restarted_fixture() {
    executor.RequireConfirmation([this] { probe.Resume(); });
    probe.Start("/healthz");
  }

  announce_result Announce(const char* id, bool draining = false) {
    target_announcement announced{"stock", 5, 8, draining, 0, "127.0.0.1:1"};
    announced.target_id = id;
    return executor.HandleAnnouncement(announced);
  }

  // Answers all probes in the next `duration`.
  void AnswerProbes(int status, absl::Duration duration) {
    const absl::Time end = time.Now() + duration;
    while (time.Now() < end) {
      if (!client.open.empty()) Respond(status, {{"Id", "i-1"}});
      time.AdvanceBy(absl::Milliseconds(50));
    }
  }
};

}  // namespace

// Guards against review case 9 (issue 48): a restarted daemon takes a target that has left as
// ready, because an earlier status report arrives late.
TEST_CASE("a late announcement of a target that is leaving is not used after a restart") {
  restarted_fixture fixture;
  fixture.AnswerProbes(503, absl::Seconds(4));
  CHECK(fixture.client.open.empty());
  CHECK(fixture.Announce("i-1") == announce_result::kUnconfirmed);
  fixture.AnswerProbes(503, absl::Seconds(10));
  CHECK_FALSE(fixture.executor.CurrentTarget());
  // No more probes once the announcement has expired.
  CHECK(fixture.client.open.empty());
}

// Guards against a sound target that has to wait after a restart of the daemon beside it.
TEST_CASE("a sound target is used within one probe of its first announcement") {
  for (const double first_report : {0.1, 1.4, 2.6, 3.5}) {
    CAPTURE(first_report);
    restarted_fixture fixture;
    fixture.AnswerProbes(200, absl::Seconds(first_report));
    fixture.Announce("i-1");
    fixture.AnswerProbes(200, absl::Milliseconds(50));
    REQUIRE(fixture.executor.CurrentTarget());
    CHECK(fixture.executor.CurrentTarget()->incarnation == 5);
    CHECK(fixture.executor.CurrentTarget()->slots == 8);
  }
}

// Guards against another process at the address that confirms a target which has left.
TEST_CASE("a probe that finds another target does not confirm an announcement") {
  restarted_fixture fixture;
  CHECK(fixture.Announce("i-2") == announce_result::kUnconfirmed);
  fixture.AnswerProbes(200, absl::Seconds(1));
  CHECK_FALSE(fixture.executor.CurrentTarget());
}

}  // namespace teaseljunction
