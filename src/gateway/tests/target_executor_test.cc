#include "gateway/target_executor.h"

#include <catch2/catch.hpp>
#include <map>

#include "gateway/tests/mocks/fake_ports.h"
#include "gateway/tests/mocks/virtual_scheduler.h"

namespace teaseljunction {
namespace {

// Keeps the requests that were sent to the target, until the test answers them.
class fake_http_client : public http_client {
 public:
  uint64_t Send(absl::string_view, http_request, bool at_most_once, absl::Duration,
                absl::AnyInvocable<void(outcome<http_response>)> completion) override {
    last_at_most_once = at_most_once;
    open[++last_id] = std::move(completion);
    return last_id;
  }
  void Cancel(uint64_t id) override { End(id, error{error_kind::kCancelled, ""}); }

  void End(uint64_t id, outcome<http_response> response) {
    auto ended = open.extract(id);
    ended.mapped()(std::move(response));
  }

  std::map<uint64_t, absl::AnyInvocable<void(outcome<http_response>)>> open;
  uint64_t last_id = 0;
  bool last_at_most_once = false;
};

struct executor_fixture {
  virtual_scheduler time;
  seeded_random_source random{3};
  call_context_table contexts{random};
  fake_http_client client;
  quarantine_registry quarantine;
  call_headers headers;
  call_graph graph;
  target_executor executor{executor_ports{time, time, contexts, client, quarantine, headers, graph},
                           "d1", admission_controller_builder().Build()};
  std::vector<execute_result> results;

  executor_fixture() { Announce(1); }

  announce_result Announce(uint64_t incarnation) {
    return executor.Announce({"stock", incarnation, 8, false, 0, "127.0.0.1:1"});
  }

  std::shared_ptr<execution> Send(const std::string& fingerprint, const char* service = "stock") {
    call request;
    request.service = service;
    request.fingerprint = fingerprint;
    request.time_left = absl::Seconds(5);
    return executor.Execute(
        request, [this](execute_result executed) { results.push_back(std::move(executed)); });
  }

  error_kind LastFailure() const { return std::get<error>(results.back().answer).kind; }
};

}  // namespace

// Guards against a crash that is not noticed because the lost call ends before the process is known
// to be lost. A request that crashed its targets was never quarantined.
TEST_CASE("a call that was lost with its target becomes a suspect") {
  struct loss_case {
    const char* what;
    void (*then)(executor_fixture&);
    size_t reports;
  };
  const std::vector<loss_case> cases = {
      {"a new process announces itself", [](executor_fixture& f) { f.Announce(2); }, 1},
      {"the next connection is refused",
       [](executor_fixture& f) {
         f.Send("other");
         // This one was not sent, so it is no suspect.
         f.client.End(2, error{error_kind::kTargetUnreachable, ""});
       },
       1},
      {"no announcement follows", [](executor_fixture& f) { f.time.AdvanceBy(absl::Seconds(2)); },
       1},
      {"the same process announces itself",
       [](executor_fixture& f) {
         f.time.AdvanceBy(absl::Seconds(1));
         f.Announce(1);
         f.time.AdvanceBy(absl::Seconds(2));
       },
       0},
  };
  for (const loss_case& row : cases) {
    INFO(row.what);
    executor_fixture fixture;
    fixture.Send("crasher");
    fixture.client.End(1, error{error_kind::kTargetFailed, ""});
    CHECK(fixture.LastFailure() == error_kind::kTargetCrashed);
    row.then(fixture);
    CHECK(fixture.executor.TakeCrashReports().size() == row.reports);
  }
}

// Guards against calls that reach the wrong target or one that has left, and against a "may have
// run" for a call that was never sent.
TEST_CASE("calls for another or a leaving target are refused as not run") {
  executor_fixture fixture;
  fixture.Send("f", "orders");
  CHECK(fixture.LastFailure() == error_kind::kTargetUnreachable);
  fixture.executor.Announce({"stock", 1, 8, true, 0, "127.0.0.1:1"});
  // Daemons that have not heard of it yet still send calls, which a draining target serves.
  fixture.Send("f");
  CHECK(fixture.client.last_id == 1);
  fixture.time.AdvanceBy(absl::Milliseconds(1100));
  fixture.Send("f");
  CHECK(fixture.LastFailure() == error_kind::kDraining);
  fixture.time.AdvanceBy(absl::Seconds(5));
  fixture.Send("f");
  CHECK(fixture.LastFailure() == error_kind::kTargetUnreachable);
  CHECK(fixture.client.last_id == 1);
}

// Guards against a target that gets new calls long after it has said that it leaves, in whichever
// way it said so.
TEST_CASE("a target that withdraws without draining first drains") {
  executor_fixture fixture;
  fixture.executor.Leave(1);
  REQUIRE(fixture.executor.Target());
  CHECK(fixture.executor.Target()->draining);
  fixture.executor.Leave(1);
  CHECK_FALSE(fixture.executor.Target());
  CHECK(fixture.Announce(1) == announce_result::kOutdated);
}

// Guards against an answer that is delivered twice or after its call was cancelled.
TEST_CASE("each call ends once") {
  executor_fixture fixture;
  const auto running = fixture.Send("f");
  running->Cancel();
  running->Cancel();
  REQUIRE(fixture.results.size() == 1);
  CHECK(fixture.LastFailure() == error_kind::kCancelled);
  CHECK(fixture.executor.Status().running == 0);
}

}  // namespace teaseljunction
