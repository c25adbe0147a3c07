#include "gateway/entry_call.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <set>
#include <string>

#include "gateway/tests/mocks/fake_dependencies.h"
#include "gateway/tests/mocks/sample_manifest.h"
#include "gateway/tests/mocks/virtual_scheduler.h"

namespace teaseljunction {
namespace {

// An entry daemon with four targets per service, without network access.
struct entry_fixture {
  virtual_scheduler time;
  seeded_random_source random{7};
  account_rate_limiter accounts{time, time, absl::Milliseconds(300), [] {}};
  target_selector targets{"entry", "dc1", random};
  fake_control_client control;
  fake_peer_client peers;
  quarantine_registry quarantine;
  call_metrics metrics;
  pending_work_counter pending;
  call_context_table contexts{random};
  std::shared_ptr<const manifest_index> manifest = SampleManifest();
  resolver_settings settings;
  call_graph graph;
  entry_call_dependencies dependencies{time,  random,     time,    accounts, targets,  control,
                                       peers, quarantine, metrics, pending,  settings, graph};
  uint64_t next_request = 0;

  entry_fixture() {
    accounts.SetAccounts(std::vector<account_rate>{{"builder", 1000, 1000}});
    std::vector<balancer_target> list;
    for (const char* service : {"stock", "orders"}) {
      for (int i = 0; i < 4; ++i) {
        const std::string id = std::string(service) + std::to_string(i);
        list.push_back({.daemon_id = id,
                        .service = service,
                        .address = id,
                        .data_centre = "dc1",
                        .incarnation = 1,
                        .slots = 10});
      }
    }
    targets.SetTargets(list, time.Now());
    Refill();
  }

  void Refill() {
    accounts.CollectDemands();
    accounts.ApplyGrants(std::vector<token_grant>{{"builder", 100, absl::Seconds(1), {}}},
                         time.Now());
  }

  std::shared_ptr<recorded_exchange> Send(http_request request) {
    request.headers.push_back({"X-Api-Key", kSampleKey});
    auto resolved = Capture<resolved_call>([&] {
      return ResolveCall(*manifest, contexts, settings, request, std::to_string(++next_request),
                         time.Now());
    });
    auto exchange = std::make_shared<recorded_exchange>();
    std::make_shared<entry_call>(dependencies, std::get<resolved_call>(std::move(resolved)),
                                 exchange)
        ->Start();
    return exchange;
  }

  // Sends a lookup of a client that has waited for `waited` of its 5 s.
  std::shared_ptr<recorded_exchange> Lookup(std::string path,
                                            absl::Duration waited = absl::ZeroDuration()) {
    const int64_t left = absl::ToInt64Milliseconds(absl::Seconds(5) - waited);
    return Send(
        {"GET", std::move(path), {{"Teaseljunction-Deadline-Ms", std::to_string(left)}}, ""});
  }

  // Sends a lookup that must be refused, and returns its Retry-After.
  absl::Duration RefuseLookup(std::string path, absl::Duration waited = absl::ZeroDuration()) {
    const auto exchange = Lookup(std::move(path), waited);
    REQUIRE(exchange->last.status == 503);
    const auto header = FindHeader(exchange->last.headers, "Retry-After");
    return absl::Milliseconds(std::lround(std::stod(std::string(header.value())) * 1000));
  }

  // Serves 100 lookups in a second, and then admits only the first cohort of their priority.
  void AdmitForOneSecond() {
    settings.headers.fractional_retry_after = true;
    for (int i = 0; i < 100; ++i) {
      if (i % 10 == 0) Refill();
      Send({"GET", "/stock/1", {}, ""});
      peers.AnswerLast(200, "");
      time.AdvanceBy(absl::Milliseconds(10));
    }
    AdmitOnlyFirstCohort();
  }

  uint64_t RedeemedPromises() {
    const absl::string_view name = "teaseljunction_return_promises_total{event=\"redeemed\"} ";
    const std::string text = metrics.FormatPrometheus();
    const size_t at = text.find(std::string(name));
    REQUIRE(at != std::string::npos);
    return std::stoull(text.substr(at + name.size()));
  }

  void AdmitOnlyFirstCohort() {
    for (int i = 0; i < 4; ++i) {
      targets.OnAttemptFinished("stock", "stock" + std::to_string(i), attempt_result::kAnswered,
                                absl::Milliseconds(1), {request_priority::kNormal, 1}, time.Now());
    }
  }

  std::shared_ptr<recorded_exchange> Order(std::string key, std::string body = "1 mat") {
    return Send({"POST", "/orders", {{"Idempotency-Key", std::move(key)}}, std::move(body)});
  }
};

std::string OutcomeOf(const recorded_exchange& exchange) {
  return std::string(FindHeader(exchange.last.headers, "Teaseljunction-Outcome").value_or(""));
}

}  // namespace

// Guards against running a non-idempotent request twice after any kind of failed attempt, and
// against reporting "not run" for an attempt that may have run.
TEST_CASE("a failed attempt of an order is retried only when it certainly has not run") {
  for (int i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<error_kind>(i);
    const error_answer& row = AnswerFor(kind);
    INFO(std::string(row.name));
    entry_fixture fixture;
    const auto exchange = fixture.Order("k1");
    REQUIRE(fixture.peers.attempts.size() == 1);
    fixture.peers.FailLast(kind);
    fixture.time.AdvanceBy(absl::Seconds(1));
    if (row.run == run_state::kMayHaveRun) {
      CHECK(fixture.peers.attempts.size() == 1);
      CHECK(OutcomeOf(*exchange) == "may-have-run");
      CHECK(fixture.control.claims.size() == 1);
    } else if (exchange->responses == 1) {
      CHECK(OutcomeOf(*exchange) == "not-run");
      CHECK(fixture.control.claims.empty());
    } else {
      CHECK(fixture.peers.attempts.size() == 2);
      CHECK(fixture.peers.attempts[0].address != fixture.peers.attempts[1].address);
    }
  }
}

// Guards against a second attempt with the same request id at the same target, where a stale
// refusal of the first one would be taken as its response.
TEST_CASE("attempts of one call go to different daemons") {
  for (int i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<error_kind>(i);
    INFO(std::string(AnswerFor(kind).name));
    entry_fixture fixture;
    const auto exchange = fixture.Send({"GET", "/stock/1", {}, ""});
    for (size_t attempt = 1; exchange->responses == 0; ++attempt) {
      REQUIRE(fixture.peers.attempts.size() == attempt);
      fixture.peers.FailLast(kind);
      fixture.time.AdvanceBy(absl::Seconds(1));
    }
    std::set<std::string> addresses;
    for (const auto& attempt : fixture.peers.attempts) addresses.insert(attempt.address);
    CHECK(addresses.size() == fixture.peers.attempts.size());
  }
}

// Guards against running a repeated order twice, whatever the state of the first one.
TEST_CASE("a repeated order gets the recorded response or is refused") {
  entry_fixture fixture;
  const auto first = fixture.Order("k1");
  const auto while_running = fixture.Order("k1");
  CHECK(while_running->last.status == 409);
  CHECK(OutcomeOf(*while_running) == "may-have-run");
  fixture.peers.AnswerLast(201, "order 17");
  CHECK(first->last.body == "order 17");
  const auto repeated = fixture.Order("k1");
  CHECK(repeated->last.status == 201);
  CHECK(repeated->last.body == "order 17");
  CHECK(fixture.Order("k1", "2 mats")->last.status == 422);
  CHECK(fixture.peers.attempts.size() == 1);
}

// Guards against an order that runs without a registered claim.
TEST_CASE("an order is not dispatched while the control group is unavailable") {
  entry_fixture fixture;
  fixture.control.available = false;
  const auto exchange = fixture.Order("k1");
  CHECK(exchange->last.status == 503);
  CHECK(OutcomeOf(*exchange) == "not-run");
  CHECK(fixture.peers.attempts.empty());
}

// Guards against a "not run" refusal of a later attempt that hides an earlier attempt of a lookup,
// and against unlimited attempts.
TEST_CASE("a lookup that may have run is never reported as not run") {
  entry_fixture fixture;
  const auto exchange = fixture.Send({"GET", "/stock/1", {}, ""});
  fixture.peers.FailLast(error_kind::kPeerLost);
  fixture.time.AdvanceBy(absl::Seconds(1));
  while (exchange->responses == 0) {
    fixture.peers.FailLast(error_kind::kOverloaded);
    fixture.time.AdvanceBy(absl::Seconds(1));
  }
  CHECK(OutcomeOf(*exchange) == "may-have-run");
  CHECK(fixture.peers.attempts.size() <= 3);
}

// Guards against hiding the target's complete response, or the reason of the last attempt's
// failure, behind a refusal when no target is left for a retry.
TEST_CASE("the last outcome is reported when no further attempt is possible") {
  entry_fixture fixture;
  const auto failed = fixture.Send({"GET", "/stock/1", {}, ""});
  while (failed->responses == 0) {
    execute_result executed;
    executed.answer = call_answer{500, {}, "broken"};
    executed.target_failed = true;
    fixture.peers.attempts.back().done(std::move(executed));
    fixture.time.AdvanceBy(absl::Seconds(1));
  }
  CHECK(failed->last.status == 500);
  CHECK(failed->last.body == "broken");

  fixture.targets.SetTargets(std::vector<balancer_target>{{.daemon_id = "stock0",
                                                           .service = "stock",
                                                           .address = "stock0",
                                                           .data_centre = "dc1",
                                                           .incarnation = 1,
                                                           .slots = 10}},
                             fixture.time.Now());
  fixture.Refill();
  const auto refused = fixture.Send({"GET", "/stock/2", {}, ""});
  fixture.peers.FailLast(error_kind::kTargetShed);
  fixture.time.AdvanceBy(absl::Seconds(1));
  CHECK(refused->last.body.find("target-shed") != std::string::npos);
}

// Guards against running requests of disconnected callers, and against cancelling a claimed order,
// whose response a repeated request still needs.
TEST_CASE("a disconnect cancels a lookup but not a claimed order") {
  entry_fixture fixture;
  const auto lookup = fixture.Send({"GET", "/stock/1", {}, ""});
  lookup->disconnect();
  CHECK(fixture.peers.attempts[0].cancelled);
  const auto order = fixture.Order("k2");
  order->disconnect();
  CHECK_FALSE(fixture.peers.attempts[1].cancelled);
  fixture.peers.AnswerLast(201, "order 18");
  CHECK(fixture.Order("k2")->last.body == "order 18");
}

// Guards against a disconnect that cancels a finished attempt while the current one goes on,
// because the earlier attempt had ended before its id was stored.
TEST_CASE("a disconnect cancels the current attempt when an earlier one failed at once") {
  entry_fixture fixture;
  fixture.peers.after_execute = [&] {
    execute_result failed;
    failed.answer = error{error_kind::kPeerUnreachable, ""};
    failed.unused_attempts = fixture.peers.attempts[0].request.attempt_budget;
    fixture.peers.attempts[0].done(std::move(failed));
    // The retry is sent before the first `Execute` has returned, as on another thread.
    fixture.time.AdvanceBy(absl::Seconds(1));
  };
  const auto lookup = fixture.Send({"GET", "/stock/1", {}, ""});
  REQUIRE(fixture.peers.attempts.size() == 2);
  CHECK(lookup->responses == 0);
  lookup->disconnect();
  CHECK(fixture.peers.attempts[1].cancelled);
}

// Guards against an attempt that runs although its caller disconnected while it was being sent.
TEST_CASE("a disconnect while an attempt is being sent cancels the attempt") {
  entry_fixture fixture;
  const auto lookup = fixture.Send({"GET", "/stock/1", {}, ""});
  execute_result refused;
  refused.answer = error{error_kind::kDraining, ""};
  refused.unused_attempts = fixture.peers.attempts[0].request.attempt_budget;
  fixture.peers.after_execute = [&] { lookup->disconnect(); };
  fixture.peers.attempts[0].done(std::move(refused));
  fixture.time.AdvanceBy(absl::Seconds(1));
  REQUIRE(fixture.peers.attempts.size() == 2);
  CHECK(fixture.peers.attempts[1].cancelled);
}

// Guards against requests beyond the tokens of the account, and against waiting indefinitely.
TEST_CASE("a request without a token waits and is then refused as not run") {
  entry_fixture fixture;
  fixture.time.AdvanceBy(absl::Seconds(2));  // The tokens have expired.
  const auto waiting = fixture.Send({"GET", "/stock/1", {}, ""});
  const auto refused = fixture.Send({"GET", "/stock/2", {}, ""});
  CHECK(waiting->responses == 0);
  fixture.accounts.CollectDemands();
  fixture.accounts.ApplyGrants(std::vector<token_grant>{{"builder", 1, absl::Seconds(1), {}}},
                               fixture.time.Now());
  CHECK(fixture.peers.attempts.size() == 1);
  fixture.time.AdvanceBy(absl::Seconds(1));
  CHECK(refused->last.status == 429);
  CHECK(OutcomeOf(*refused) == "not-run");
  CHECK(FindHeader(refused->last.headers, "Retry-After"));
}

// Guards against counting requests above the rate of their account as a part of the load, and
// against refusals by the plan that use a token or a claim.
TEST_CASE("the plan counts requests that start and refuses those without room") {
  entry_fixture fixture;
  fixture.graph.SetOverloadControl(overload_control_mode::kPlanned);
  const auto report = [&](double load) {
    fixture.graph.RecordCosts("lookup", {{"stock", 1, load, absl::ZeroDuration()}},
                              fixture.time.Now());
  };
  const auto plan_has = [&](const std::string& line) {
    return fixture.graph.FormatPrometheus(fixture.time.Now()).find(line) != std::string::npos;
  };
  report(0.3);
  fixture.time.AdvanceBy(absl::Seconds(2));  // The tokens have expired.
  const auto refused = fixture.Send({"GET", "/stock/1", {}, ""});
  fixture.time.AdvanceBy(absl::Milliseconds(400));
  REQUIRE(refused->last.status == 429);
  report(0.3);
  CHECK(plan_has("teaseljunction_plan_offered{service=\"stock\"} 0\n"));
  CHECK(plan_has("teaseljunction_plan_admitted{service=\"stock\"} 0\n"));

  absl::optional<http_response> without_room;
  for (int i = 0; i < 600 && !without_room; ++i) {
    fixture.Refill();
    report(i < 200 ? 0.3 : 4);
    const auto exchange = fixture.Send({"GET", "/stock/1", {}, ""});
    fixture.time.AdvanceBy(absl::Milliseconds(10));
    if (exchange->responses == 0) {
      fixture.peers.AnswerLast(200, "");
    } else {
      without_room = exchange->last;
    }
    if (i < 200) CHECK(!without_room);
  }
  REQUIRE(without_room);
  CHECK(without_room->status == 503);
  CHECK(without_room->body.find("Service stock has no room.") != std::string::npos);
  CHECK(!plan_has("teaseljunction_plan_cut{service=\"stock\"} 4\n"));
}

// Guards against refusing requests as above the rate while the leader does not respond.
TEST_CASE("requests continue at the previous rate while the leader is unavailable") {
  virtual_scheduler time;
  account_rate_limiter accounts(time, time, absl::Milliseconds(150), [] {});
  accounts.SetAccounts(std::vector<account_rate>{{"a", 100, 100}});
  int granted = 0;
  int refused = 0;
  const auto run = [&](int requests, bool leader_answers) {
    granted = refused = 0;
    for (int i = 0; i < requests; ++i) {
      accounts.AcquireToken("a", [&](const token_result& token) {
        granted += token.granted ? 1 : 0;
        refused += token.granted ? 0 : 1;
      });
      if (leader_answers) {
        const auto sent = time.Now();
        std::vector<token_grant> grants;
        for (const token_demand& demand : accounts.CollectDemands()) {
          grants.push_back({"a", demand.tokens, absl::Milliseconds(500), {}});
        }
        accounts.ApplyGrants(grants, sent);
      }
      time.AdvanceBy(absl::Milliseconds(20));
    }
  };
  run(300, true);
  CHECK(granted == 300);
  time.AdvanceBy(absl::Milliseconds(600));  // The tokens have expired.
  accounts.SetAllocatorLost(true);
  run(50, false);
  CHECK(granted >= 25);
  run(50, false);
  time.AdvanceBy(absl::Seconds(1));
  CHECK(refused >= 25);
  accounts.SetAllocatorLost(false);
  run(50, true);
  CHECK(refused == 0);
}

// Guards against dropping grants because another account of the same shard was granted tokens in
// the same response.
TEST_CASE("each account in a sync response gets its tokens") {
  virtual_scheduler time;
  account_rate_limiter accounts(time, time, absl::Milliseconds(300), [] {});
  std::vector<account_rate> rates;
  std::vector<token_grant> grants;
  for (int i = 0; i < 40; ++i) {
    rates.push_back({"account" + std::to_string(i), 100, 100});
    grants.push_back({rates.back().client_account, 1, absl::Seconds(1), {}});
  }
  accounts.SetAccounts(rates);
  accounts.CollectDemands();
  accounts.ApplyGrants(grants, time.Now());
  int granted = 0;
  for (const account_rate& account : rates) {
    accounts.AcquireToken(account.client_account, [&granted](const token_result& token) {
      granted += token.granted ? 1 : 0;
    });
  }
  CHECK(granted == 40);
}

// Guards against delays that bring all refused callers back at once or ignore the schedule, against
// treating a returning request like a new one, and against early returns that use up the promise.
TEST_CASE("with planned overload control a refused request returns before new ones") {
  entry_fixture fixture;
  fixture.graph.SetOverloadControl(overload_control_mode::kPlanned);
  fixture.AdmitForOneSecond();
  std::set<absl::Duration> delays;
  for (int i = 0; i < 10; ++i) delays.insert(fixture.RefuseLookup("/stock/" + std::to_string(i)));
  CHECK(delays.size() == 10);
  CHECK(*delays.begin() >= absl::Milliseconds(500));
  CHECK(*delays.rbegin() < absl::Milliseconds(1667));

  const absl::Duration delay = fixture.RefuseLookup("/stock/a");
  fixture.time.AdvanceBy(delay - absl::Milliseconds(100));
  fixture.AdmitOnlyFirstCohort();
  CHECK(fixture.RefuseLookup("/stock/a", delay - absl::Milliseconds(100)) ==
        absl::Milliseconds(100));
  fixture.time.AdvanceBy(absl::Milliseconds(110));
  fixture.Refill();
  const size_t attempts = fixture.peers.attempts.size();
  CHECK(fixture.Lookup("/stock/new")->responses == 1);
  // Requests of the warm-up that the plan refused may have redeemed promises of their own.
  const uint64_t redeemed = fixture.RedeemedPromises();
  CHECK(fixture.Lookup("/stock/a", delay)->responses == 0);
  CHECK(fixture.RedeemedPromises() == redeemed + 1);
  REQUIRE(fixture.peers.attempts.size() == attempts + 1);
  CHECK(fixture.peers.attempts.back().request.cohort == 0);
  CHECK(fixture.Lookup("/stock/a", delay)->responses == 1);
  CHECK(fixture.RedeemedPromises() == redeemed + 1);
}

// Guards against a change of the default mode, in which the delay is 500 ms to 1 s.
TEST_CASE("with reactive overload control a returning request counts as new") {
  entry_fixture fixture;
  fixture.AdmitForOneSecond();
  const absl::Duration delay = fixture.RefuseLookup("/stock/a");
  CHECK(delay >= absl::Milliseconds(500));
  CHECK(delay <= absl::Seconds(1));
  fixture.time.AdvanceBy(delay);
  fixture.AdmitOnlyFirstCohort();
  CHECK(fixture.Lookup("/stock/a", delay)->responses == 1);
}

}  // namespace teaseljunction
