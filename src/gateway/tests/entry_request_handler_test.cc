#include "gateway/entry_request_handler.h"

#include <catch2/catch.hpp>

#include "gateway/tests/mocks/sample_manifest.h"
#include "gateway/tests/mocks/target_executor_environment.h"

namespace teaseljunction {
namespace {

// An entry of a daemon whose target runs one call; the route "lookup" has targets elsewhere.
struct handler_fixture : target_executor_environment {
  account_rate_limiter accounts{time, time, absl::Milliseconds(300), [] {}};
  target_selector targets{"entry", "dc1", random};
  fake_control_client control;
  fake_peer_client peers;
  call_metrics metrics;
  pending_work_counter pending;
  resolver_settings settings;
  entry_call_dependencies dependencies{time,  random,     time,    accounts, targets,  control,
                                       peers, quarantine, metrics, pending,  settings, graph};
  active_manifest config;
  target_announcement_handler announcements{executor};
  entry_request_handler handler{dependencies, config, contexts, announcements, "127.0.0.1"};
  std::string context;

  handler_fixture() {
    config.Install(SampleManifest());
    config.ConfirmUntil(time.Now() + absl::Hours(1));
    targets.SetTargets(std::vector<balancer_target>{{.daemon_id = "stock0",
                                                     .service = "stock",
                                                     .address = "stock0",
                                                     .data_centre = "dc1",
                                                     .incarnation = 1,
                                                     .slots = 10}},
                       time.Now());
    call parent;
    parent.attempt_budget = 16;
    context = contexts.Add(std::make_shared<running_call>(parent, time.Now() + absl::Hours(1)));
  }

  // Makes all routes open ones for child calls.
  void MarkRoutesInternal() {
    manifest changed = SampleManifest(2)->Manifest();
    for (route& listed : changed.routes) {
      listed.open = true;
      listed.internal = true;
    }
    config.Install(std::make_shared<const manifest_index>(std::move(changed)));
  }

  std::shared_ptr<recorded_exchange> Send(std::string path, std::vector<http_header> headers) {
    auto exchange = std::make_shared<recorded_exchange>();
    handler.Handle({"GET", std::move(path), std::move(headers), ""}, exchange);
    return exchange;
  }

  std::shared_ptr<recorded_exchange> SendChild() {
    return Send("/stock/1", {{"Teaseljunction-Context", context}});
  }
};

bool IsDrainingRefusal(const recorded_exchange& exchange) {
  return exchange.responses == 1 && exchange.last.status == 503 &&
         FindHeader(exchange.last.headers, "Teaseljunction-Outcome").value_or("") == "not-run" &&
         exchange.last.body.find("error:draining\"") != std::string::npos;
}

}  // namespace

// Guards against a child call that is still running when the stop of its daemon ends.
TEST_CASE("a child call of a stopping daemon ends before the stop") {
  handler_fixture fixture;
  fixture.handler.StopAcceptingCallers(fixture.time.Now() + absl::Milliseconds(70));
  const auto child = fixture.SendChild();
  REQUIRE(fixture.peers.attempts.size() == 1);
  CHECK(fixture.peers.attempts.back().request.time_left == absl::Milliseconds(70));
  CHECK(child->responses == 0);
}

// Guards against a child call that is started with no time left instead of being refused as not
// run.
TEST_CASE("a child call that arrives at the end of a stop is refused as not run") {
  handler_fixture fixture;
  fixture.handler.StopAcceptingCallers(fixture.time.Now() + absl::Milliseconds(70));
  fixture.time.AdvanceBy(absl::Milliseconds(70));
  CHECK(IsDrainingRefusal(*fixture.SendChild()));
  CHECK(fixture.peers.attempts.empty());
}

// Guards against callers that wait long before they repeat a refused request at another daemon.
TEST_CASE("the refusal of a stopping daemon has a short Retry-After") {
  handler_fixture fixture;
  fixture.handler.StopAcceptingCallers(fixture.time.Now() + absl::Seconds(1));
  for (const bool fractional : {true, false}) {
    fixture.settings.headers.fractional_retry_after = fractional;
    const auto refused = fixture.Send("/status", {});
    CHECK(IsDrainingRefusal(*refused));
    const auto retry_after = FindHeader(refused->last.headers, "Retry-After");
    REQUIRE(retry_after);
    CHECK(std::stod(std::string(*retry_after)) <= (fractional ? 0.1 : 1));
  }
  CHECK(fixture.peers.attempts.empty());
}

// Guards against requests that are accepted early in a stop and given up at its end, because their
// targets have become slow.
TEST_CASE("a stopping daemon refuses requests that are not expected to end before the stop") {
  handler_fixture fixture;
  const auto running = fixture.Send("/status", {});
  REQUIRE(running->responses == 0);
  fixture.time.AdvanceBy(absl::Seconds(2));
  const absl::Time now = fixture.time.Now();
  fixture.handler.BeginDrain(now + absl::Seconds(2), now + absl::Milliseconds(4500));
  const auto accepted = fixture.Send("/status", {});
  CHECK(accepted->responses == 0);
  fixture.time.AdvanceBy(absl::Seconds(1));
  const auto refused = fixture.Send("/status", {});
  CHECK(IsDrainingRefusal(*refused));
  CHECK(fixture.Send("/status", {{"Teaseljunction-Deadline-Ms", "3000"}})->responses == 0);
  CHECK(fixture.peers.attempts.size() == 3);
}

// Guards against callers that come back to a stopping daemon before they have learned of its stop.
TEST_CASE("a request refused early in a stop may come back when its caller has learned of it") {
  handler_fixture fixture;
  fixture.settings.headers.fractional_retry_after = true;
  fixture.Send("/status", {});
  fixture.time.AdvanceBy(absl::Seconds(3));
  fixture.handler.BeginDrain(fixture.time.Now() + absl::Seconds(2),
                             fixture.time.Now() + absl::Seconds(4));
  const auto refused = fixture.Send("/status", {});
  REQUIRE(IsDrainingRefusal(*refused));
  const double retry_after_s =
      std::stod(std::string(FindHeader(refused->last.headers, "Retry-After").value_or("0")));
  CHECK(retry_after_s >= 1);
  CHECK(retry_after_s <= 4);
}

// Guards against a repeatable call to a route for child calls that is accepted late in a stop and
// answered with an error at its end, because its target ignores the deadline.
TEST_CASE("an unmarked child call that is not expected to end before the stop is refused") {
  handler_fixture fixture;
  fixture.MarkRoutesInternal();
  fixture.Send("/stock/1", {});
  REQUIRE(fixture.peers.attempts.size() == 1);
  fixture.time.AdvanceBy(absl::Milliseconds(400));
  fixture.handler.StopAcceptingCallers(fixture.time.Now() + absl::Milliseconds(500));
  CHECK(IsDrainingRefusal(*fixture.Send("/stock/1", {})));
  CHECK(fixture.peers.attempts.size() == 1);
  // The parent is running here, and another daemon could not serve it.
  CHECK(fixture.SendChild()->responses == 0);
}

// Targets that know no token: the call is ranked with the request that made it, if its id shows it.
TEST_CASE("a child call without a token gets the rank of the request that its id is derived from") {
  handler_fixture fixture;
  fixture.settings.headers.caller_request_id = true;
  fixture.MarkRoutesInternal();
  call request;
  request.request_id = "4bf92f";
  request.route = "front";
  request.priority = request_priority::kLow;
  request.cohort = 77;
  fixture.graph.RecordExecutionStart(request, fixture.time.Now());
  const auto send = [&](std::string id) {
    fixture.Send("/stock/1", {{fixture.settings.headers.request_id, std::move(id)}});
    return fixture.peers.attempts.back().request;
  };
  const call child = send("4bf92f.1");
  CHECK(child.priority == request_priority::kHigh);
  CHECK(child.cohort == 77);
  CHECK(child.depth == 1);
  CHECK(send("a3ce92.1").priority == request_priority::kCritical);
  fixture.graph.SetOverloadControl(overload_control_mode::kPlanned);
  const call planned_child = send("4bf92f.1");
  CHECK(planned_child.priority == request_priority::kLow);
  CHECK(planned_child.cohort == 77);
  CHECK(planned_child.depth == 1);
  fixture.graph.RecordExecutionEnd("4bf92f");
  CHECK(send("4bf92f.2").priority == request_priority::kCritical);
}

// Guards against refusing a call below an admitted request, after work has been done for it.
TEST_CASE("where the capacity is planned the levels of targets do not apply to child calls") {
  handler_fixture fixture;
  const auto refuse_all = [&] {
    fixture.targets.OnAttemptStarted("stock", "stock0", fixture.time.Now());
    fixture.targets.OnAttemptFinished("stock", "stock0", attempt_result::kAnswered,
                                      absl::ZeroDuration(), {request_priority::kCritical, 0},
                                      fixture.time.Now());
  };
  refuse_all();
  CHECK(fixture.SendChild()->last.status == 503);
  CHECK(fixture.peers.attempts.empty());
  fixture.targets.SetOverloadControl(overload_control_mode::kPlanned);
  CHECK(fixture.SendChild()->responses == 0);
  CHECK(fixture.peers.attempts.size() == 1);
  // A switch back takes effect for the next call.
  fixture.targets.SetOverloadControl(overload_control_mode::kReactive);
  CHECK(fixture.SendChild()->last.status == 503);
}

}  // namespace teaseljunction
