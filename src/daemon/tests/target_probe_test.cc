#include "daemon/target_probe.h"

#include <catch2/catch.hpp>

#include "gateway/tests/mocks/executor_parts.h"

namespace teaseljunction {
namespace {

struct probe_fixture : executor_parts {
  local_target_settings target{"127.0.0.1:1", "stock"};
  int found = 0;
  target_probe probe{probe_ports{time, time, client, executor, headers}, target,
                     [this] { ++found; }};

  probe_fixture() {
    headers.told_target_id = "Id";
    headers.told_load = "Load";
  }

  void Answer(int status, std::vector<http_header> answered) {
    client.End(client.last_id, http_response{status, std::move(answered), ""});
  }
};

}  // namespace

// Guards against a restarted daemon that refuses the calls of its target until the target's next
// announcement.
TEST_CASE("a healthy target is found at the start of the daemon") {
  probe_fixture fixture;
  fixture.probe.Start("/healthz");
  CHECK(fixture.client.last_path == "/healthz");
  fixture.Answer(200, {{"Id", "i-1"}, {"Load", "3,0,8"}});
  CHECK(fixture.found == 1);
  REQUIRE(fixture.executor.Target());
  CHECK(fixture.executor.Target()->target_id == "i-1");
  CHECK(fixture.executor.Target()->slots == 8);
  // A later configuration does not begin again.
  fixture.probe.Start("/other");
  fixture.time.AdvanceBy(absl::Seconds(10));
  CHECK(fixture.client.last_id == 1);
}

// Guards against calls to a target that leaves, is not named, or does not say how much it can run.
TEST_CASE("an unfit answer leads to another probe for a short time") {
  struct row {
    int status;
    std::vector<http_header> headers;
  };
  const row rows[] = {{503, {{"Id", "i-1"}, {"Load", "3,0,8"}}},
                      {200, {{"Load", "3,0,8"}}},
                      {200, {{"Id", "i-1"}}},
                      {200, {{"Id", "i-1"}, {"Load", "3,0"}}},
                      {200, {{"Id", "i-1"}, {"Load", "3,0,-8"}}}};
  for (const row& unfit : rows) {
    probe_fixture fixture;
    fixture.probe.Start("/healthz");
    while (!fixture.client.open.empty()) {
      fixture.Answer(unfit.status, unfit.headers);
      fixture.time.AdvanceBy(absl::Milliseconds(260));
    }
    CHECK(fixture.client.last_id > 5);
    CHECK(fixture.client.last_id < 20);
    CHECK_FALSE(fixture.executor.Target());
  }
}

// Guards against probes without need: each one costs a target processor time.
TEST_CASE("nothing is probed without a path or after an announcement") {
  probe_fixture fixture;
  fixture.probe.Start("");
  fixture.executor.Announce({"stock", 1, 8, false, 0, "127.0.0.1:1"});
  fixture.probe.Start("/healthz");
  CHECK(fixture.client.last_id == 0);
}

}  // namespace teaseljunction
