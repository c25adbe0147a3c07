#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <set>

#include "admission/tests/mocks/virtual_target.h"

namespace teaseljunction {
namespace {

constexpr auto kCritical = request_priority::kCritical;
constexpr auto kNormal = request_priority::kNormal;
constexpr auto kLow = request_priority::kLow;

// Returns the seeds of a randomised test: three fixed ones, or the one of TEASELJUNCTION_SEED.
std::vector<uint64_t> Seeds() {
  const char* seed = std::getenv("TEASELJUNCTION_SEED");
  if (seed != nullptr) return {std::strtoull(seed, nullptr, 10)};
  return {1, 2, 3};
}

std::string ReproduceCommand(uint64_t seed) {
  return "reproduce: TEASELJUNCTION_SEED=" + std::to_string(seed) + " build/bin/admission_test";
}

absl::Time At(int ms) { return absl::UnixEpoch() + absl::Milliseconds(ms); }

admission_request Call(uint64_t id, request_priority priority, const std::string& account,
                       uint32_t depth = 0) {
  admission_request request;
  request.call_id = id;
  request.priority = priority;
  request.client_account = account;
  request.depth = depth;
  request.size_bytes = 10;
  return request;
}

// Returns a controller whose only slot is used by call 1.
admission_controller BusyController(size_t max_calls = 100, size_t max_bytes = 10000) {
  admission_controller controller = admission_controller_builder()
                                        .SetMaxQueueCalls(max_calls)
                                        .SetMaxQueueBytes(max_bytes)
                                        .Build();
  controller.SetSlots(1, At(0));
  REQUIRE(controller.Submit(Call(1, kCritical, "z"), At(0)).verdict == admission_verdict::kStarted);
  return controller;
}

// Finishes one running call after the other and returns the order in which queued calls start.
std::vector<uint64_t> StartOrder(admission_controller& controller, uint64_t running, int ms) {
  std::vector<uint64_t> order;
  while (controller.QueuedCalls() > 0) {
    controller.Finish(running, target_result::kAnswered, absl::ZeroDuration(), At(ms));
    for (const admission_decision& decision : controller.Poll(At(ms))) {
      if (decision.verdict != admission_verdict::kStarted) continue;
      running = decision.call_id;
      order.push_back(running);
    }
  }
  return order;
}

}  // namespace

// Guards against limits and levels that do not adapt: a slowed target that still gets its full
// load, or a recovered one that gets too little.
TEST_CASE("limit and level follow a target that becomes 10 times slower and recovers") {
  for (const uint64_t seed : Seeds()) {
    for (int variant = 0; variant < 8; ++variant) {
      const bool congested = (variant & 1) != 0;
      virtual_target target(seed);
      target.random_service_time = (variant & 2) != 0;
      target.refuse_at_entry = (variant & 4) != 0;
      INFO(ReproduceCommand(seed) << ", variant " << variant);
      target.controller.SetSlots(100, target.Time());
      target.streams = {{"a", kNormal, 4000}, {"b", kNormal, 4000}};
      target.Run(2);
      CHECK(target.Run(1) > 7600);
      (congested ? target.servers : target.slowdown) = 10;
      target.Run(1.5);
      if (congested) CHECK(target.controller.ConcurrencyLimit() <= 60);
      CHECK(target.Run(28.5) > 0.9 * 28500);
      target.servers = 100;
      target.slowdown = 1;
      target.Run(1);
      CHECK(target.Run(1) > 7600);
      CHECK(target.controller.ConcurrencyLimit() >= 75);
      CHECK(target.controller.Level(target.Time()) == overload_level{});
      CHECK(target.max_running <= 100);
    }
  }
}

// Guards against a collapse of goodput under overload, refusal of important calls or of accounts
// within their fair share because of the excess of others, and refusals that outlast the overload.
TEST_CASE("goodput and fairness hold at ten times the capacity") {
  for (const uint64_t seed : Seeds()) {
    for (const bool at_entry : {false, true}) {
      INFO(ReproduceCommand(seed) << ", refused at entry " << at_entry);
      virtual_target target(seed);
      target.refuse_at_entry = at_entry;
      target.random_service_time = true;
      target.controller.SetSlots(100, target.Time());
      target.streams = {
          {"a", kCritical, 4000}, {"a", kNormal, 3000}, {"b", kNormal, 2000}, {"c", kLow, 1000}};
      target.Run(2);
      const int at_capacity = target.Run(5);
      target.streams[1].calls_per_second = 70000;
      target.streams[3].calls_per_second = 24000;
      target.ResetResults();
      CHECK(target.Run(5) > 0.95 * at_capacity);
      CHECK(target.streams[0].overloaded == 0);
      CHECK(target.streams[2].answered > 0.95 * target.streams[2].offered);
      for (call_stream& stream : target.streams) stream.calls_per_second = 2000;
      target.Run(1);
      target.ResetResults();
      target.Run(2);
      for (const call_stream& stream : target.streams) CHECK(stream.overloaded == 0);
    }
  }
}

// Guards against refusal of critical calls while the target could run all of them, also with a
// short queue.
TEST_CASE("critical calls are not refused while they fit") {
  for (const uint64_t seed : Seeds()) {
    for (const size_t queue_calls : {64, 1024}) {
      INFO(ReproduceCommand(seed) << ", queue of " << queue_calls);
      // Near the capacity, bursts of critical calls alone would fill a short queue.
      const double rate = queue_calls == 64 ? 8000 : 9300;
      virtual_target target(seed);
      target.controller = admission_controller_builder().SetMaxQueueCalls(queue_calls).Build();
      target.random_service_time = true;
      target.controller.SetSlots(100, target.Time());
      target.streams = {{"a", kCritical, rate}};
      // The target cannot run all of them until its limit has grown and the backlog is served.
      target.Run(3);
      target.ResetResults();
      target.streams.push_back({"b", request_priority::kHigh, 40000});
      target.streams.push_back({"a", kLow, 40000});
      target.Run(5);
      CHECK(target.streams[0].overloaded == 0);
      CHECK(target.streams[0].deadline_too_short == 0);
    }
  }
}

// Guards against a target that keeps having to shed calls that it cannot run.
TEST_CASE("shedding by the target lowers the limit, which rises again afterwards") {
  virtual_target target(1);
  target.shed_above = 40;
  target.controller.SetSlots(100, target.Time());
  target.streams = {{"a", kNormal, 9000}};
  target.Run(2);
  CHECK(target.controller.ConcurrencyLimit() <= 48);
  CHECK(target.Run(2) > 0.9 * 2 * 4000);
  target.shed_above = 1000;
  target.Run(1.5);
  CHECK(target.controller.ConcurrencyLimit() >= 90);
}

// Guards against a service order that wastes work already done or starves an account.
TEST_CASE("queued calls start by priority, depth, calls served and age") {
  const std::vector<admission_request> calls = {
      Call(10, kLow, "a"),      Call(11, kNormal, "a"),   Call(12, kNormal, "a"),
      Call(13, kNormal, "a"),   Call(14, kNormal, "b"),   Call(15, kNormal, "c", 2),
      Call(16, kCritical, "a"), Call(17, kCritical, "a"), Call(18, kNormal, "b")};
  admission_controller controller = BusyController();
  for (const admission_request& call : calls) controller.Submit(call, At(1));
  const std::vector<uint64_t> expected = {16, 17, 15, 11, 14, 12, 18, 13, 10};
  CHECK(StartOrder(controller, 1, 2) == expected);
}

// Guards against serving calls whose callers have given up while newer ones are queued.
TEST_CASE("a standing queue is served newest first, except for critical calls") {
  admission_controller controller = BusyController();
  controller.Submit(Call(9, kNormal, "a"), At(10));
  for (const int ms : {50, 100}) controller.Poll(At(ms));
  for (const int i : {0, 1, 2}) {
    controller.Submit(Call(10 + i, kNormal, "a"), At(100 + i));
    controller.Submit(Call(20 + i, kCritical, "a"), At(100 + i));
  }
  controller.Poll(At(150));
  CHECK(StartOrder(controller, 1, 151) == std::vector<uint64_t>{20, 21, 22, 12, 11, 10});
}

// Guards against refusing calls below an admitted request, which wastes the work done for it, and
// against serving them newest first, which makes the oldest of them miss their deadline.
TEST_CASE("carried calls are refused only for their deadline and start oldest first") {
  const bool carried = GENERATE(true, false);
  admission_controller controller = BusyController();
  int refused_as_overloaded = 0;
  int refused_for_deadline = 0;
  std::vector<uint64_t> queued;
  const auto count = [&](const admission_decision& decision) {
    if (decision.verdict == admission_verdict::kQueued) queued.push_back(decision.call_id);
    if (decision.verdict != admission_verdict::kRefused) return;
    ++(decision.reason == error_kind::kOverloaded ? refused_as_overloaded : refused_for_deadline);
  };
  for (int i = 0; i < 40; ++i) {
    admission_request call = Call(10 + i, kLow, "a", 1);
    call.cohort = kCohortCount - 1;
    call.carried = carried;
    call.max_wait = absl::Milliseconds(300);
    call.deadline = At(i == 0 ? 1900 : 5000);
    count(controller.Submit(call, At(50 * i)));
    for (const admission_decision& decision : controller.Poll(At(50 * i))) count(decision);
  }
  INFO("carried " << carried);
  CHECK((refused_as_overloaded == 0) == carried);
  if (!carried) return;
  CHECK(refused_for_deadline == 1);
  queued.erase(queued.begin());
  CHECK(StartOrder(controller, 1, 2050) == queued);
}

// Guards against a queue full of unimportant calls, or of calls of one account, that keeps others
// out.
TEST_CASE("a full queue evicts the least important, newest call") {
  struct row {
    admission_request arriving;
    uint64_t refused;
  };
  const row rows[] = {{Call(50, kCritical, "b"), 13},
                      {Call(50, kLow, "a"), 50},
                      {Call(50, kLow, "b"), 13},
                      {Call(50, kLow, "a", 1), 13},
                      {Call(50, kNormal, "a"), 13}};
  for (const bool by_bytes : {false, true}) {
    for (const row& entry : rows) {
      admission_controller controller =
          by_bytes ? BusyController(100, 40) : BusyController(4, 10000);
      controller.Submit(Call(10, kNormal, "a"), At(1));
      for (const uint64_t id : {11, 12, 13}) controller.Submit(Call(id, kLow, "a"), At(1));
      auto decisions = std::vector{controller.Submit(entry.arriving, At(2))};
      for (const auto& decision : controller.Poll(At(2))) decisions.push_back(decision);
      uint64_t refused = 0;
      for (const auto& decision : decisions) {
        if (decision.verdict == admission_verdict::kRefused) refused = decision.call_id;
      }
      CHECK(refused == entry.refused);
      CHECK(controller.QueuedCalls() == 4);
    }
  }
}

// Guards against calls that start although they cannot meet their deadline, and against a service
// time estimate from a slow period that causes refusals for ever.
TEST_CASE("calls that cannot meet their deadline are refused before they start") {
  admission_controller controller = BusyController();
  controller.Finish(1, target_result::kAnswered, absl::Milliseconds(100), At(100));
  admission_request late = Call(2, kCritical, "a");
  late.deadline = At(190);
  CHECK(controller.Submit(late, At(100)).reason == error_kind::kDeadlineTooShort);
  controller.Submit(Call(3, kCritical, "a"), At(100));
  late.call_id = 4;
  late.deadline = At(250);
  CHECK(controller.Submit(late, At(100)).verdict == admission_verdict::kQueued);
  CHECK(controller.NextPoll(At(149)) <= At(150));
  const auto decisions = controller.Poll(At(151));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].reason == error_kind::kDeadlineTooShort);
  controller.Finish(3, target_result::kCancelled, absl::ZeroDuration(), At(151));
  late.deadline = At(2050);
  CHECK(controller.Submit(late, At(2000)).verdict == admission_verdict::kStarted);
}

// Guards against calls that stay queued without a target, and slots still occupied by calls of a
// previous process.
TEST_CASE("queue and slots are cleared when the target is replaced by a cold one") {
  admission_controller controller = BusyController();
  controller.Submit(Call(2, kNormal, "a"), At(1));
  controller.SetSlots(0, At(2));
  CHECK(controller.NextPoll(At(2)) == At(2));
  CHECK(controller.Poll(At(2)).at(0).reason == error_kind::kNoTarget);
  CHECK(controller.Submit(Call(3, kNormal, "a"), At(3)).reason == error_kind::kNoTarget);
  controller.SetSlots(80, At(4));
  controller.ResetForColdTarget(At(4));
  CHECK(controller.InFlightCalls() == 0);
  CHECK(controller.ConcurrencyLimit() == 10);
  controller.Finish(1, target_result::kFailed, absl::Seconds(1), At(5));
  CHECK(controller.InFlightCalls() == 0);
  CHECK(controller.Submit(Call(4, kNormal, "a"), At(5)).verdict == admission_verdict::kStarted);
  CHECK_FALSE(controller.Cancel(4, At(5)));
}

// Guards against calls that get no decision or two, and against exceeded bounds.
TEST_CASE("each call gets exactly one final decision under random operations") {
  for (const uint64_t seed : Seeds()) {
    INFO(ReproduceCommand(seed));
    std::mt19937_64 random(seed);
    admission_controller controller =
        admission_controller_builder().SetMaxQueueCalls(20).SetMaxQueueBytes(150).Build();
    std::set<uint64_t> queued, running;
    uint32_t slots = 0;
    absl::Time now = absl::UnixEpoch();
    const auto apply = [&](const admission_decision& decision) {
      REQUIRE(queued.erase(decision.call_id) == 1);
      if (decision.verdict == admission_verdict::kQueued) queued.insert(decision.call_id);
      if (decision.verdict == admission_verdict::kStarted) running.insert(decision.call_id);
    };
    for (uint64_t id = 1; id < 20000; ++id) {
      now += absl::Microseconds(random() % 4000);
      const auto operation = random() % 100;
      if (operation < 45) {
        admission_request call = Call(id, static_cast<request_priority>(random() % 4),
                                      std::string(1, static_cast<char>('a' + random() % 3)));
        call.cohort = random() % kCohortCount;
        call.deadline = now + absl::Milliseconds(random() % 500);
        queued.insert(id);
        apply(controller.Submit(call, now));
      } else if (operation < 85 && !running.empty()) {
        const auto result = static_cast<target_result>(random() % 5);
        controller.Finish(*running.begin(), result, absl::Milliseconds(random() % 50), now);
        running.erase(running.begin());
      } else if (operation < 90 && !queued.empty()) {
        if (controller.Cancel(*queued.begin(), now)) queued.erase(queued.begin());
      } else if (operation == 90) {
        slots = random() % 20;
        controller.SetSlots(slots, now);
      } else if (operation == 91) {
        controller.ResetForColdTarget(now);
      }
      const size_t in_flight = controller.InFlightCalls();
      for (const admission_decision& decision : controller.Poll(now)) apply(decision);
      REQUIRE(controller.ConcurrencyLimit() <= slots);
      REQUIRE(controller.ConcurrencyLimit() >= std::min(slots, 1U));
      REQUIRE(controller.InFlightCalls() <=
              std::max<size_t>(in_flight, controller.ConcurrencyLimit()));
      REQUIRE(controller.QueuedCalls() == queued.size());
      REQUIRE(controller.QueuedCalls() <= 15);
      REQUIRE((controller.QueuedCalls() == 0 || controller.NextPoll(now) > now));
    }
  }
}

}  // namespace teaseljunction
