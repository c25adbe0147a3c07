#include "gateway/target_executor.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/tests/mocks/target_executor_environment.h"
#include "http/curl_client.h"
#include "http/tests/raw_socket.h"

namespace teaseljunction {
namespace {

struct executor_fixture : target_executor_environment {
  std::vector<execute_result> results;
  /// Runs once, after a result has been recorded.
  std::function<void()> after_result;

  explicit executor_fixture(bool announced = true) {
    if (announced) Announce(1);
  }

  announce_result Announce(uint64_t incarnation) {
    return executor.HandleAnnouncement({"stock", incarnation, 8, false, 0, "127.0.0.1:1"});
  }

  std::shared_ptr<call_execution> Send(const std::string& fingerprint,
                                       const char* service = "stock") {
    call request;
    request.service = service;
    request.fingerprint = fingerprint;
    request.time_left = absl::Seconds(5);
    // Calls of this priority may wait for long.
    request.priority = request_priority::kCritical;
    request.max_wait = absl::Seconds(4);
    return executor.Execute(request, [this](execute_result executed) {
      results.push_back(std::move(executed));
      if (after_result) std::exchange(after_result, nullptr)();
    });
  }

  const call_answer& LastAnswer() const { return std::get<call_answer>(results.back().answer); }

  error_kind LastFailure() const { return std::get<error>(results.back().answer).kind; }
};

/// Returns "status body" of the answer, or the kind of the error.
std::string Summary(const execute_result& executed) {
  if (const auto* failure = std::get_if<error>(&executed.answer)) {
    return std::string(AnswerFor(failure->kind).name);
  }
  const auto& answer = std::get<call_answer>(executed.answer);
  return absl::StrCat(answer.status, " ", answer.body);
}

/// An executor that sends its calls over real connections.
struct connected_executor : target_executor_environment {
  std::unique_ptr<curl_client> connections = curl_client_builder().Threads(1).Build();
  target_executor connected{
      target_executor_dependencies{time, time, contexts, *connections, quarantine, headers, graph},
      "d1", admission_controller_builder().Build()};

  explicit connected_executor(const std::string& address) {
    connected.HandleAnnouncement({"stock", 1, 8, false, 0, address});
  }
  // Completes the calls while the executor still exists.
  ~connected_executor() { connections.reset(); }

  std::string Send(const std::string& request_id) {
    call request;
    request.service = "stock";
    request.request_id = request_id;
    request.method = "GET";
    request.path = "/stock/1";
    request.idempotent = true;
    request.time_left = absl::Seconds(10);
    std::promise<execute_result> finished;
    connected.Execute(
        request, [&finished](execute_result executed) { finished.set_value(std::move(executed)); });
    return Summary(finished.get_future().get());
  }
};

}  // namespace

// Guards against entries that admit more because the target has room, while its daemon has none.
TEST_CASE("a daemon without processor time reports its own load in place of that of its target") {
  struct fixed_load : busy_source {
    double load = 0;
    double BusyLoad(absl::Time) const override { return load; }
  } thread;
  executor_fixture fixture;
  target_executor busy({fixture.time, fixture.time, fixture.contexts, fixture.client,
                        fixture.quarantine, fixture.headers, fixture.graph, &thread},
                       "d2", admission_controller_builder().Build());
  busy.HandleAnnouncement({"stock", 1, 8, false, 0, "127.0.0.1:1"});
  double load_for_choice = -1;
  double load_for_admission = -1;
  const auto run = [&](double thread_load) {
    thread.load = thread_load;
    load_for_admission = -1;
    while (load_for_admission < 0) {
      call request;
      request.service = "stock";
      request.time_left = absl::Seconds(5);
      busy.Execute(request, [&](execute_result executed) {
        load_for_choice = executed.load;
        if (!executed.costs.empty()) load_for_admission = executed.costs[0].load;
      });
      fixture.client.End(fixture.client.last_id, http_response{200, {}, ""});
    }
  };
  run(0.2);
  CHECK(load_for_admission == Approx(0.2));
  // A thread with time to spare is no reason to send calls elsewhere.
  CHECK(load_for_choice == 0);
  run(1.4);
  CHECK(load_for_admission == Approx(1.4));
  CHECK(load_for_choice > 1.4);
}

// Guards against "not run" for a request that its target ran, after the target has sent an earlier
// refusal once more.
TEST_CASE("a stale refusal of a target is not reported as not run") {
  const bool echoes = GENERATE(true, false);
  std::atomic<int> runs = 0;
  raw_server target([&](raw_socket& connection) {
    std::string refusal;
    while (true) {
      const std::string request = connection.ReadUntil("\r\n\r\n");
      if (request.empty()) return;
      const size_t context = request.find("Teaseljunction-Context: ");
      const std::string echo =
          echoes ? request.substr(context, request.find('\r', context) - context) + "\r\n" : "";
      if (refusal.empty()) {
        refusal = "HTTP/1.1 503 Shed\r\nTeaseljunction-Shed: true\r\n" + echo +
                  "Content-Length: 0\r\n\r\n";
        connection.Write(refusal);
        continue;
      }
      ++runs;
      connection.Write(refusal);
      connection.Write("HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 4\r\n\r\ndone");
    }
  });
  connected_executor fixture(target.address());
  CHECK(fixture.Send("r1") == "target-shed");
  const std::string second = fixture.Send("r2");
  // A target that does not repeat ids gets a new connection for each request, so it refuses again.
  CHECK(second == (echoes ? "target-crashed" : "target-shed"));
  CHECK(runs == (echoes ? 1 : 0));
  CHECK(target.connections() == (echoes ? 1 : 2));
}

// Guards against accepting the answer to another attempt or child call of the same request, and
// against passing the token of a call on to its caller.
TEST_CASE("each attempt at a target is identified by a value of its own") {
  executor_fixture fixture;
  std::set<std::string> values;
  for (int i = 0; i < 3; ++i) {
    fixture.Send("f");
    const http_request& sent = fixture.client.last_request;
    const http_header& echoed = sent.expected.echoed;
    CHECK(echoed.name == fixture.headers.context);
    CHECK(FindHeader(sent.headers, echoed.name) == absl::string_view(echoed.value));
    CHECK(sent.expected.echo_optional);
    values.insert(echoed.value);
    fixture.client.End(fixture.client.last_id,
                       http_response{200, {{echoed.name, echoed.value}, {"X-Kept", "1"}}, ""});
    REQUIRE(fixture.LastAnswer().headers.size() == 1);
    CHECK(fixture.LastAnswer().headers[0].name == "X-Kept");
  }
  CHECK(values.size() == 3);
}

// Guards against "not run" for a response that does not clearly say so.
TEST_CASE("only a refusal that the interface defines counts as not run") {
  struct response_case {
    int status;
    bool has_mark;
    bool names_target;
    const char* expected;
  };
  const std::vector<response_case> cases = {
      {503, true, false, "target-shed"}, {429, true, true, "target-shed"},
      {421, false, true, "target-shed"}, {421, false, false, "421 "},
      {503, false, false, "503 "},       {200, true, false, "200 "},
  };
  for (const response_case& row : cases) {
    INFO(row.status << ", mark " << row.has_mark << ", target named " << row.names_target);
    executor_fixture fixture;
    if (row.names_target) fixture.headers.target_id = "X-Target";
    fixture.Send("f");
    http_response response{row.status, {}, ""};
    if (row.has_mark) response.headers.push_back({fixture.headers.not_run, "true"});
    fixture.client.End(fixture.client.last_id, std::move(response));
    CHECK(Summary(fixture.results.back()) == row.expected);
  }
}

// Guards against accepting responses without an id from targets that always repeat the caller's.
TEST_CASE("targets that repeat the caller's request id must do so in every response") {
  executor_fixture fixture;
  fixture.headers.caller_request_id = true;
  fixture.headers.request_id = "X-Id";
  fixture.headers.context = "";
  fixture.Send("f");
  CHECK(fixture.client.last_request.expected.echoed.name == "X-Id");
  CHECK_FALSE(fixture.client.last_request.expected.echo_optional);
}

// Guards against a crash that goes unnoticed because the lost call ends before the loss of the
// process is known. A request that crashed its targets was then never quarantined.
TEST_CASE("a request that was lost with its target becomes a suspect") {
  struct loss_case {
    const char* description;
    void (*next_event)(executor_fixture&);
    size_t reports;
  };
  const std::vector<loss_case> cases = {
      {"a new process announces itself", [](executor_fixture& f) { f.Announce(2); }, 1},
      {"the next connection is refused",
       [](executor_fixture& f) {
         f.Send("other");
         // This request was not sent, so it is not a suspect.
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
    INFO(row.description);
    executor_fixture fixture;
    fixture.Send("crasher");
    fixture.client.End(1, error{error_kind::kTargetFailed, ""});
    CHECK(fixture.LastFailure() == error_kind::kTargetCrashed);
    row.next_event(fixture);
    CHECK(fixture.executor.TakeCrashReports().size() == row.reports);
  }
}

// Guards against calls that reach the wrong target or one that has left, and against reporting "may
// have run" for a call that was never sent.
TEST_CASE("calls for another or a leaving target are refused as not run") {
  executor_fixture fixture;
  fixture.Send("f", "orders");
  CHECK(fixture.LastFailure() == error_kind::kTargetUnreachable);
  fixture.executor.HandleAnnouncement({"stock", 1, 8, true, 0, "127.0.0.1:1"});
  // Daemons that have not yet learned of the draining still send calls, which the target serves.
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

// Guards against review case 3 (issue 33): a call from the queue that starts so late after the
// target has begun to drain that the target ends while it runs.
TEST_CASE("queued calls of a draining target are refused as not run once it gets no more calls") {
  executor_fixture fixture;
  fixture.executor.SetMaxConcurrency(1);
  fixture.Send("running");
  fixture.Send("starts");
  fixture.Send("waits");
  fixture.Send("waits");
  fixture.executor.HandleAnnouncement({"stock", 1, 8, true, 0, "127.0.0.1:1"});
  fixture.time.AdvanceBy(kTargetDrainTime / 4);
  fixture.client.End(1, http_response{200, {}, ""});
  CHECK(fixture.client.last_id == 2);
  CHECK(fixture.results.size() == 1);
  // Nothing else happens at the target.
  fixture.time.AdvanceBy(kTargetDrainTime / 4);
  REQUIRE(fixture.results.size() == 3);
  CHECK(fixture.LastFailure() == error_kind::kDraining);
  CHECK(fixture.executor.Status().queued == 0);
  fixture.client.End(2, http_response{200, {}, ""});
  CHECK(fixture.client.last_id == 2);
  CHECK(fixture.results.back().answer.index() == 0);
}

// Guards against a call that was started in time and then waits for a connection, while its target
// drains, leaves or is replaced.
TEST_CASE("a call whose connection is ready too late is not sent") {
  struct departure_case {
    const char* description;
    void (*depart)(executor_fixture&);
    error_kind expected;
  };
  const std::vector<departure_case> cases = {
      {"draining",
       [](executor_fixture& f) {
         f.executor.HandleAnnouncement({"stock", 1, 8, true, 0, "127.0.0.1:1"});
         f.time.AdvanceBy(kTargetDrainTime / 2);
       },
       error_kind::kDraining},
      {"withdrawn",
       [](executor_fixture& f) {
         f.executor.HandleWithdrawal(1);
         f.executor.HandleWithdrawal(1);
       },
       error_kind::kTargetUnreachable},
      {"replaced by another service",
       [](executor_fixture& f) {
         f.executor.HandleAnnouncement({"orders", 2, 8, false, 0, "127.0.0.1:1"});
       },
       error_kind::kTargetUnreachable},
      {"replaced at another address",
       [](executor_fixture& f) {
         f.executor.HandleAnnouncement({"stock", 2, 8, false, 0, "127.0.0.1:2"});
       },
       error_kind::kTargetUnreachable},
  };
  for (const departure_case& row : cases) {
    INFO(row.description);
    executor_fixture fixture;
    fixture.Send("f");
    const auto check = fixture.client.last_request.before_send;
    CHECK_FALSE(check());
    row.depart(fixture);
    const auto refusal = check();
    REQUIRE(refusal);
    CHECK(refusal->kind == row.expected);
    CHECK(AnswerFor(refusal->kind).run == run_state::kNotRun);
    // A replacement is reported as a crash of the calls that were started.
    fixture.executor.TakeCrashReports();
    fixture.client.End(1, *refusal);
    CHECK(fixture.LastFailure() == row.expected);
    // The call did not reach the target, so it can't have crashed it.
    CHECK(fixture.executor.TakeCrashReports().empty());
  }
}

// Guards against a queued call that is sent to a process of another service at the same address.
TEST_CASE(
    "queued calls are refused as not run when another service takes the place of the target") {
  executor_fixture fixture;
  fixture.executor.SetMaxConcurrency(1);
  fixture.Send("running");
  fixture.Send("queued");
  fixture.executor.HandleAnnouncement({"orders", 2, 8, false, 0, "127.0.0.1:1"});
  REQUIRE(fixture.results.size() == 1);
  CHECK(fixture.LastFailure() == error_kind::kTargetUnreachable);
  fixture.client.End(1, http_response{200, {}, ""});
  CHECK(fixture.client.last_id == 1);
}

// Guards against sending new calls to a target long after it has started to drain or has withdrawn.
TEST_CASE("a target that withdraws without draining starts to drain") {
  executor_fixture fixture;
  fixture.executor.HandleWithdrawal(1);
  REQUIRE(fixture.executor.CurrentTarget());
  CHECK(fixture.executor.CurrentTarget()->draining);
  fixture.executor.HandleWithdrawal(1);
  CHECK_FALSE(fixture.executor.CurrentTarget());
  CHECK(fixture.Announce(1) == announce_result::kOutdated);
}

// Guards against a delayed probe response that brings back a withdrawn target, and against treating
// the first announcement of a probed target as its loss.
TEST_CASE("a probed target serves until it announces itself or leaves") {
  target_announcement found{"stock", 0, 8, false, 0, "127.0.0.1:1"};
  found.target_id = "i-1";
  executor_fixture fixture;
  CHECK_FALSE(fixture.executor.AcceptProbedTarget(found));
  executor_fixture restarted(false);
  CHECK(restarted.executor.AcceptProbedTarget(found));
  restarted.Send("f");
  CHECK(restarted.client.last_id == 1);
  target_announcement announced = found;
  announced.incarnation = 7;
  CHECK(restarted.executor.HandleAnnouncement(announced) == announce_result::kRenewed);
  CHECK(restarted.results.empty());
  executor_fixture withdrawn(false);
  withdrawn.executor.HandleWithdrawal(0);
  CHECK_FALSE(withdrawn.executor.AcceptProbedTarget(found));
  executor_fixture draining(false);
  CHECK(draining.executor.AcceptProbedTarget(found));
  draining.executor.HandleWithdrawal(0);
  CHECK(draining.executor.CurrentTarget()->draining);
}

// Guards against cutting off a target that responds at its deadline that it has given the call up.
TEST_CASE("a target has time to respond after the deadline that it is given") {
  executor_fixture fixture;
  fixture.Send("f");
  const auto given =
      FindHeader(fixture.client.last_request.headers, fixture.headers.deadline).value_or("");
  CHECK(given == "5000");
  CHECK(fixture.client.last_timeout > absl::Seconds(5));
}

// Guards against delivering a result twice or after the call was cancelled.
TEST_CASE("each call ends exactly once") {
  executor_fixture fixture;
  const auto running = fixture.Send("f");
  running->Cancel();
  running->Cancel();
  REQUIRE(fixture.results.size() == 1);
  CHECK(fixture.LastFailure() == error_kind::kCancelled);
  CHECK(fixture.executor.Status().running == 0);
}

// Guards against calls that a stopping daemon accepts so late that it gives them up.
TEST_CASE("a daemon that stops accepting refuses new calls and finishes the running ones") {
  executor_fixture fixture;
  fixture.Send("running");
  fixture.executor.StopAccepting();
  fixture.Send("late");
  CHECK(fixture.LastFailure() == error_kind::kDraining);
  CHECK(fixture.client.last_id == 1);
  fixture.client.End(1, http_response{200, {}, "ok"});
  CHECK(std::holds_alternative<call_answer>(fixture.results.back().answer));
  CHECK(fixture.executor.Status().running == 0);
}

// Guards against refusing a call below an admitted request for its time in the queue.
TEST_CASE("where the capacity is planned child calls wait until their deadline") {
  const bool planned = GENERATE(true, false);
  executor_fixture fixture;
  if (planned) fixture.executor.SetOverloadControl(overload_control_mode::kPlanned);
  fixture.executor.SetMaxConcurrency(1);
  fixture.Send("running");
  call child;
  child.service = "stock";
  child.time_left = absl::Seconds(1);
  child.max_wait = absl::Milliseconds(50);
  child.depth = 1;
  absl::optional<error_kind> refusal;
  fixture.executor.Execute(child, [&refusal](execute_result executed) {
    refusal = std::get<error>(executed.answer).kind;
  });
  for (int i = 0; i < 20; ++i) fixture.time.AdvanceBy(absl::Milliseconds(20));
  CHECK(refusal.has_value() == !planned);
  fixture.time.AdvanceBy(absl::Seconds(1));
  CHECK(refusal == error_kind::kDeadlineTooShort);
}

// Guards against "may have run" for calls that were still queued when their daemon stopped.
TEST_CASE("queued calls of a stopping daemon end as not run") {
  executor_fixture fixture;
  for (int i = 0; i < 10; ++i) fixture.Send("f");
  const target_executor_status busy = fixture.executor.Status();
  REQUIRE(busy.running > 0);
  REQUIRE(busy.queued > 0);
  REQUIRE(fixture.results.empty());
  fixture.executor.StopAccepting();
  CHECK(fixture.results.size() == busy.queued);
  CHECK(fixture.LastFailure() == error_kind::kDraining);
  CHECK(fixture.executor.Status().queued == 0);
  CHECK(fixture.executor.Status().running == busy.running);
  CHECK(fixture.client.last_id == busy.running);
}

// Guards against a refusal as not run of a call that is sent to its target at the same moment.
TEST_CASE("a call that has left the queue when the queue is refused runs and is answered") {
  executor_fixture fixture;
  fixture.executor.SetMaxConcurrency(1);
  fixture.Send("running");
  fixture.Send("queued");
  REQUIRE(fixture.executor.Status().queued == 1);
  // The end of the first call admits the second one, which starts after the result was delivered.
  fixture.after_result = [&] { fixture.executor.StopAccepting(); };
  fixture.client.End(1, http_response{200, {}, ""});
  CHECK(fixture.results.size() == 1);
  REQUIRE(fixture.client.last_id == 2);
  fixture.client.End(2, http_response{200, {}, ""});
  REQUIRE(fixture.results.size() == 2);
  CHECK(fixture.results.back().answer.index() == 0);
  CHECK(fixture.executor.Status().running == 0);
}

// Guards against a call that goes on at its target although it was cancelled while it was sent.
TEST_CASE("a call that is cancelled while it is being sent is cancelled at the target") {
  executor_fixture fixture;
  fixture.executor.SetMaxConcurrency(1);
  fixture.Send("running");
  const auto queued = fixture.Send("queued");
  fixture.client.after_send = [&] { queued->Cancel(); };
  fixture.client.End(1, http_response{200, {}, ""});
  REQUIRE(fixture.client.last_id == 2);
  CHECK(fixture.client.open.empty());
  REQUIRE(fixture.results.size() == 2);
  CHECK(fixture.LastFailure() == error_kind::kCancelled);
  CHECK(fixture.executor.Status().running == 0);
}

// Guards against a refusal that uses up the attempts with which the call could run elsewhere.
TEST_CASE("a call that is refused as not run returns its attempts") {
  executor_fixture fixture;
  fixture.executor.StopAccepting();
  call request;
  request.service = "stock";
  request.attempt_budget = 5;
  request.time_left = absl::Seconds(5);
  uint32_t unused_attempts = 0;
  fixture.executor.Execute(
      request, [&](const execute_result& executed) { unused_attempts = executed.unused_attempts; });
  CHECK(unused_attempts == 5);
}

// Guards against a planned stop that waits until its deadline for a call that never ran.
TEST_CASE("a call that is cancelled between admission and start does not stay in flight") {
  executor_fixture fixture;
  fixture.executor.SetMaxConcurrency(1);
  fixture.Send("running");
  const auto queued = fixture.Send("queued");
  REQUIRE(fixture.executor.Status().queued == 1);
  // The end of the first call admits the second one, which starts after the result was delivered.
  fixture.after_result = [&] { queued->Cancel(); };
  fixture.client.End(1, http_response{200, {}, ""});
  REQUIRE(fixture.results.size() == 2);
  CHECK(fixture.LastFailure() == error_kind::kCancelled);
  CHECK(fixture.client.last_id == 1);
  CHECK(fixture.executor.Status().running == 0);
  CHECK(fixture.executor.Status().queued == 0);
  fixture.Send("next");
  CHECK(fixture.client.last_id == 2);
}

// Guards against reporting the calls at a target that still runs as its crash, because another call
// was started after the target had withdrawn or its lease had expired.
TEST_CASE("a call that finds no target at its start is refused and nothing is reported as lost") {
  struct departure_case {
    const char* description;
    void (*depart)(executor_fixture&);
  };
  const std::vector<departure_case> cases = {
      {"withdrawal",
       [](executor_fixture& f) {
         f.executor.HandleWithdrawal(1);
         f.executor.HandleWithdrawal(1);
       }},
      {"expired lease", [](executor_fixture& f) { f.time.AdvanceBy(absl::Seconds(3)); }},
  };
  for (const departure_case& row : cases) {
    INFO(row.description);
    executor_fixture fixture;
    fixture.executor.SetMaxConcurrency(2);
    fixture.Send("long");
    fixture.Send("short");
    fixture.Send("queued");
    REQUIRE(fixture.executor.Status().queued == 1);
    // The end of the second call admits the third one, which starts after the result was delivered.
    fixture.after_result = [&] { row.depart(fixture); };
    fixture.client.End(2, http_response{200, {}, ""});
    REQUIRE(fixture.results.size() == 2);
    CHECK(AnswerFor(fixture.LastFailure()).run == run_state::kNotRun);
    CHECK(fixture.client.last_id == 2);
    CHECK(fixture.executor.TakeCrashReports().empty());
    CHECK(fixture.executor.Status().running == 1);
    fixture.client.End(1, http_response{200, {}, ""});
    CHECK(fixture.results.back().answer.index() == 0);
    CHECK(fixture.executor.Status().running == 0);
  }
}

// Guards against queued calls that wait for a free slot of a target that has left.
TEST_CASE("queued calls are refused as not run when the target withdraws") {
  executor_fixture fixture;
  fixture.executor.SetMaxConcurrency(1);
  fixture.Send("running");
  fixture.Send("queued");
  REQUIRE(fixture.executor.Status().queued == 1);
  fixture.executor.HandleWithdrawal(1);
  CHECK(fixture.executor.Status().queued == 1);
  fixture.executor.HandleWithdrawal(1);
  CHECK(fixture.executor.Status().queued == 0);
  REQUIRE(fixture.results.size() == 1);
  CHECK(fixture.LastFailure() == error_kind::kTargetUnreachable);
  fixture.client.End(1, http_response{200, {}, ""});
  CHECK(fixture.results.back().answer.index() == 0);
  CHECK(fixture.executor.TakeCrashReports().empty());
}

// Guards against crash reports for calls at a target whose announcements were only late, and
// against a planned stop that doesn't wait for them.
TEST_CASE("calls stay in flight when their target announces itself again after its lease") {
  executor_fixture fixture;
  fixture.Send("long");
  fixture.time.AdvanceBy(absl::Seconds(4));
  REQUIRE_FALSE(fixture.executor.CurrentTarget());
  CHECK(fixture.Announce(1) == announce_result::kJoined);
  CHECK(fixture.executor.TakeCrashReports().empty());
  CHECK(fixture.executor.Status().running == 1);
  fixture.client.End(1, http_response{200, {}, ""});
  CHECK(fixture.results.size() == 1);
  CHECK(fixture.executor.Status().running == 0);
}

// Guards against a slow host whose load looks like that of any other host with as many calls, and
// against a change of the load that is reported with reactive overload control.
TEST_CASE("with planned overload control, the reported load is multiplied by the pace") {
  struct row {
    overload_control_mode mode;
    const char* figures;
    double factor;
    bool pace_exported;
  };
  const row rows[] = {{overload_control_mode::kReactive, "1,0,8,250", 1, false},
                      {overload_control_mode::kPlanned, "1,0,8,250", 1.5, true},
                      {overload_control_mode::kPlanned, "1,0,8,50", 1, true},
                      {overload_control_mode::kPlanned, "1,0,8,wrong", 1, false},
                      {overload_control_mode::kPlanned, "1,0,8", 1, false}};
  for (const row& expected : rows) {
    CAPTURE(expected.figures);
    executor_fixture fixture;
    fixture.headers.reported_load = "Load";
    fixture.executor.SetOverloadControl(expected.mode);
    fixture.Send("first");
    fixture.Send("second");
    fixture.Send("third");
    fixture.time.AdvanceBy(absl::Milliseconds(36));
    fixture.client.End(1, http_response{200, {{"Load", expected.figures}}, ""});
    const double limit = static_cast<double>(fixture.executor.Status().concurrency_limit);
    CHECK(fixture.results.back().load == Approx(expected.factor * 2 / limit));
    CHECK(fixture.executor.FormatPrometheus().empty() != expected.pace_exported);
    // A figure expires, also when a later response comes without one.
    fixture.time.AdvanceBy(absl::Milliseconds(1001));
    fixture.client.End(2, http_response{200, {}, ""});
    CHECK(fixture.results.back().load == Approx(1 / limit));
  }
}

}  // namespace teaseljunction
