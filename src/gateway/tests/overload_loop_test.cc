#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "admission/admission_controller.h"
#include "overload/call_rank.h"
#include "overload/entry_admission.h"

namespace teaseljunction {
namespace {

constexpr absl::string_view kService = "trucks";
constexpr uint32_t kSlots = 56;
constexpr size_t kQueue = 168;
constexpr absl::Duration kMeanWork = absl::Milliseconds(55);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(700);
constexpr absl::Duration kFrontWork = absl::Milliseconds(250);
constexpr absl::Duration kReportDelay = absl::Milliseconds(250);
constexpr int kResponsesPerReport = 8;
constexpr size_t kEntries = 14;

/// Requests that make calls of the service, one after the other. The request fails with the first
/// call that fails.
struct request_kind {
  double per_second;
  request_priority priority;
  int calls;
  int offered = 0;
  int admitted = 0;
  int completed = 0;
};

/// Requests that several entries admit, and the targets of the service that their calls need, in
/// virtual time. The targets decide with their own admission control and report their load to the
/// entries.
class service_simulation {
 public:
  service_simulation(int targets, std::vector<request_kind> kinds) : kinds_(std::move(kinds)) {
    for (int i = 0; i < targets; ++i) AddTarget();
    for (size_t kind = 0; kind < kinds_.size(); ++kind) ScheduleArrival(kind);
  }

  void Run(absl::Duration time) {
    const absl::Time end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto next = events_.begin();
      now_ = next->first;
      const std::function<void()> run = std::move(next->second);
      events_.erase(next);
      run();
    }
    now_ = end;
  }

  /// Leaves the first `count` targets; calls at the others end as usual.
  void KeepTargets(size_t count) { targets_.resize(count); }

  void ResetCounts() {
    calls_done_ = 0;
    for (request_kind& kind : kinds_) kind.offered = kind.admitted = kind.completed = 0;
  }

  const request_kind& Kind(size_t index) const { return kinds_[index]; }
  int CallsDone() const { return calls_done_; }

 private:
  struct running_request {
    size_t entry;
    size_t kind;
    uint8_t cohort;
    int calls_left;
  };
  struct target {
    admission_controller controller;
    absl::flat_hash_map<uint64_t, running_request> calls;
    int responses = 0;
  };

  static double LoadOf(const admission_controller& controller) {
    return static_cast<double>(controller.InFlightCalls() + controller.QueuedCalls()) /
           std::max(controller.ConcurrencyLimit(), 1U);
  }

  void At(absl::Time when, std::function<void()> run) { events_.emplace(when, std::move(run)); }

  void AddTarget() {
    targets_.push_back(std::make_shared<target>(
        target{admission_controller_builder().SetMaxQueueCalls(kQueue).Build(), {}, 0}));
    targets_.back()->controller.SetSlots(kSlots, now_);
    Poll(targets_.back());
  }

  void ScheduleArrival(size_t kind) {
    const double wait = std::exponential_distribution<>(kinds_[kind].per_second)(random_);
    At(now_ + absl::Seconds(wait), [this, kind] {
      ScheduleArrival(kind);
      Arrive(kind);
    });
  }

  void Arrive(size_t index) {
    request_kind& kind = kinds_[index];
    ++kind.offered;
    const size_t entry = random_() % kEntries;
    const auto cohort = static_cast<uint8_t>(random_() % kCohortCount);
    const route_cost cost = {{"front", 1, 0, {}},
                             {std::string(kService), static_cast<double>(kind.calls), 0, {}}};
    if (!entries_[entry].FindOverloadedService(cost, kind.priority, cohort, now_).empty()) return;
    ++kind.admitted;
    At(now_ + kFrontWork, [this, entry, index, cohort, calls = kind.calls] {
      Call({entry, index, cohort, calls});
    });
  }

  void Call(const running_request& request) {
    const auto least =
        std::min_element(targets_.begin(), targets_.end(), [](const auto& left, const auto& right) {
          return LoadOf(left->controller) < LoadOf(right->controller);
        });
    const std::shared_ptr<target> chosen = *least;
    const uint64_t id = ++next_id_;
    chosen->calls[id] = request;
    const call_rank rank = RankOfChildCall({kinds_[request.kind].priority, request.cohort, 0});
    Decide(chosen, chosen->controller.Submit({.call_id = id,
                                              .priority = rank.priority,
                                              .cohort = rank.cohort,
                                              .depth = rank.depth,
                                              .deadline = now_ + kCallTimeout},
                                             now_));
    for (const admission_decision& decision : chosen->controller.Poll(now_)) {
      Decide(chosen, decision);
    }
  }

  void Decide(const std::shared_ptr<target>& at, const admission_decision& decision) {
    if (decision.verdict == admission_verdict::kQueued) return;
    if (decision.verdict == admission_verdict::kRefused) {
      Report(*at, at->calls[decision.call_id].entry);
      at->calls.erase(decision.call_id);
      return;
    }
    const absl::Duration work = kMeanWork * std::lognormal_distribution<>(-0.125, 0.5)(random_);
    At(now_ + work, [this, at, id = decision.call_id, work] { Finish(at, id, work); });
  }

  void Finish(const std::shared_ptr<target>& at, uint64_t id, absl::Duration work) {
    ++calls_done_;
    at->controller.Finish(id, target_result::kAnswered, work, now_);
    running_request request = at->calls[id];
    at->calls.erase(id);
    for (const admission_decision& decision : at->controller.Poll(now_)) Decide(at, decision);
    Report(*at, request.entry);
    if (--request.calls_left > 0) return Call(request);
    ++kinds_[request.kind].completed;
  }

  void Poll(const std::shared_ptr<target>& at) {
    for (const admission_decision& decision : at->controller.Poll(now_)) Decide(at, decision);
    At(now_ + absl::Milliseconds(20), [this, at] { Poll(at); });
  }

  void Report(target& at, size_t entry) {
    if (++at.responses % kResponsesPerReport != 0) return;
    const double load = LoadOf(at.controller);
    At(now_ + kReportDelay, [this, entry, load] {
      entries_[entry].RecordLoad({{std::string(kService), 1, load, {}}}, now_);
    });
  }

  absl::Time now_ = absl::UnixEpoch();
  std::multimap<absl::Time, std::function<void()>> events_;
  std::mt19937 random_{7};
  std::vector<request_kind> kinds_;
  std::vector<std::shared_ptr<target>> targets_;
  std::vector<entry_admission> entries_{kEntries};
  uint64_t next_id_ = 0;
  int calls_done_ = 0;
};

}  // namespace

// The load of a service that loses two of three targets and is left with half of what is asked of
// it. In the seconds until the entries admit less, its targets have to refuse calls of requests
// that are running: it must be those of the least important requests, and all calls of few
// requests.
TEST_CASE("a service that has lost targets completes the important requests first") {
  service_simulation simulation(3, {{40, request_priority::kHigh, 10},
                                    {60, request_priority::kNormal, 2},
                                    {240, request_priority::kLow, 5}});
  simulation.Run(absl::Seconds(15));
  simulation.ResetCounts();
  simulation.KeepTargets(1);
  simulation.Run(absl::Seconds(5));
  const request_kind& high = simulation.Kind(0);
  const request_kind& normal = simulation.Kind(1);
  const request_kind& low = simulation.Kind(2);
  INFO("high " << high.offered << "/" << high.admitted << "/" << high.completed << ", normal "
               << normal.offered << "/" << normal.admitted << "/" << normal.completed << ", low "
               << low.offered << "/" << low.admitted << "/" << low.completed << ", calls "
               << simulation.CallsDone());
  CHECK(high.completed > 0.95 * high.offered);
  CHECK(normal.completed > 0.95 * normal.offered);
}

}  // namespace teaseljunction
