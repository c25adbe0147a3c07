#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

#include "event_loop/busy_meter.h"
#include "overload/call_rank.h"
#include "overload/capacity_plan.h"
#include "overload/entry_admission.h"

namespace teaseljunction {

/// Requests that each make `calls` calls of the service, one after the other.
struct simulated_kind {
  double per_second;
  request_priority priority;
  int calls;
  int offered = 0;
  int admitted = 0;
  int served = 0;
  double ServedShare() const { return offered == 0 ? 1 : static_cast<double>(served) / offered; }
};

struct simulation_settings {
  /// False for the level of `entry_admission` and the raised ranks of reactive mode.
  bool planned = true;
  size_t entries = 4;
  int slots = 40;
  /// Time from the refusal of a request to its return; zero if it does not return.
  absl::Duration return_after;
  /// Time that the thread in front of the service takes to pass a call on, one after the other.
  absl::Duration thread_time;
  /// True if the load of this thread is reported where it exceeds that of the service.
  bool reports_thread = true;
};

/// Several entries and a service with slots and one queue by rank, in virtual time. The service
/// reports its load with the responses to requests.
class entry_simulation {
 public:
  entry_simulation(const simulation_settings& settings, std::vector<simulated_kind> simulated)
      : kinds(std::move(simulated)),
        slots(settings.slots),
        calls_admitted_at(settings.entries),
        settings_(settings),
        entries_(settings.entries) {
    for (size_t kind = 0; kind < kinds.size(); ++kind) ScheduleArrival(kind);
  }

  entry_simulation(const entry_simulation&) = delete;
  entry_simulation& operator=(const entry_simulation&) = delete;

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

  void ResetCounts() {
    for (simulated_kind& kind : kinds) kind.offered = kind.admitted = kind.served = 0;
  }
  void RestartEntry(size_t entry) { entries_[entry] = {}; }
  double Load() const { return static_cast<double>(running_ + queue_.size()) / slots; }
  /// Time that the entries see.
  absl::Time EntryTime() const { return now_ + clock_offset; }
  const capacity_plan& Plan(size_t entry) const { return entries_[entry].plan; }

  /// May be changed during a run.
  std::vector<simulated_kind> kinds;
  int slots;
  absl::Duration clock_offset;
  bool reports = true;
  absl::Duration report_age;
  /// Returns the reported load for the actual one.
  std::function<double(double)> report = [](double load) { return load; };
  /// Calls of the admitted requests per entry.
  std::vector<int> calls_admitted_at;

 private:
  struct entry_state {
    capacity_plan plan;
    entry_admission level;
    std::map<size_t, route_cost> costs;
    int responses = 0;
  };
  struct request {
    size_t entry;
    size_t kind;
    uint8_t cohort;
    int calls_left;
    absl::Time deadline;
  };
  struct waiting_call {
    request parent;
    request_priority priority;
    uint64_t order;
    bool operator<(const waiting_call& other) const {
      return std::tie(priority, order) > std::tie(other.priority, other.order);
    }
  };
  static constexpr absl::Duration kWork = absl::Milliseconds(40);
  static constexpr absl::Duration kFrontWork = absl::Milliseconds(100);
  static constexpr absl::Duration kTimeout = absl::Seconds(2);
  static constexpr int kResponsesPerReport = 4;

  void At(absl::Duration delay, std::function<void()> run) {
    events_.emplace(now_ + delay, std::move(run));
  }

  void ScheduleArrival(size_t kind) {
    At(absl::Seconds(std::exponential_distribution<>(kinds[kind].per_second)(random_)),
       [this, kind] {
         ScheduleArrival(kind);
         ++kinds[kind].offered;
         Arrive(random_() % entries_.size(), kind, now_ + kTimeout);
       });
  }

  void Arrive(size_t entry, size_t kind, absl::Time deadline) {
    const auto cohort = static_cast<uint8_t>(random_() % kCohortCount);
    if (!Admit(entries_[entry], kind, cohort)) {
      if (settings_.return_after == absl::ZeroDuration() ||
          now_ + settings_.return_after >= deadline)
        return;
      return At(settings_.return_after,
                [this, entry, kind, deadline] { Arrive(entry, kind, deadline); });
    }
    ++kinds[kind].admitted;
    calls_admitted_at[entry] += kinds[kind].calls;
    At(kFrontWork, [this, admitted = request{entry, kind, cohort, kinds[kind].calls, deadline}] {
      Call(admitted);
    });
  }

  bool Admit(entry_state& entry, size_t kind, uint8_t cohort) {
    const std::string route = std::to_string(kind);
    const route_cost& cost = entry.costs[kind];
    const request_priority priority = kinds[kind].priority;
    if (!settings_.planned) {
      return entry.level.FindOverloadedService(cost, priority, cohort, EntryTime()).empty();
    }
    const planned_request request{route, "front", cost, priority, cohort};
    entry.plan.RecordOffered(request, EntryTime());
    return !entry.plan.FindShortage(request, EntryTime());
  }

  void Call(const request& parent) {
    if (settings_.thread_time == absl::ZeroDuration()) return Queue(parent);
    if (now_ > thread_free_at_) thread_.RecordWait(thread_free_at_, now_);
    thread_free_at_ = std::max(thread_free_at_, now_) + settings_.thread_time;
    At(thread_free_at_ - now_, [this, parent] { Queue(parent); });
  }

  void Queue(const request& parent) {
    const simulated_kind& kind = kinds[parent.kind];
    const call_rank rank{kind.priority, parent.cohort, 0};
    queue_.push({parent, (settings_.planned ? rank : RankOfChildCall(rank)).priority, ++order_});
    StartCalls();
  }

  void StartCalls() {
    while (!queue_.empty() && running_ < slots) {
      request started = queue_.top().parent;
      queue_.pop();
      if (now_ + kWork > started.deadline) {
        End(started, false);
        continue;
      }
      ++running_;
      At(kWork * std::lognormal_distribution<>(-0.125, 0.5)(random_), [this, started]() mutable {
        --running_;
        if (--started.calls_left > 0) {
          Call(started);
        } else {
          End(started, now_ <= started.deadline);
        }
        StartCalls();
      });
    }
  }

  void End(const request& ended, bool served) {
    entry_state& entry = entries_[ended.entry];
    if (served) ++kinds[ended.kind].served;
    entry.plan.RecordEnded(entry.costs[ended.kind], served, EntryTime());
    if (!reports || ++entry.responses % kResponsesPerReport != 0) return;
    // The targets of the service are not equally loaded.
    const bool has_thread = settings_.reports_thread && thread_free_at_ > now_;
    const double busiest = has_thread ? std::max(Load(), thread_.LoadAt(now_)) : Load();
    const double load = report(busiest * std::uniform_real_distribution<>(0.8, 1.2)(random_));
    const route_cost cost = {{"front", 1, 0.2, {}},
                             {"scarce", 1.0 * kinds[ended.kind].calls, load, report_age}};
    entry.costs[ended.kind] = cost;
    entry.plan.RecordLoad(cost, EntryTime());
    entry.level.RecordLoad(cost, EntryTime());
  }

  const simulation_settings settings_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::multimap<absl::Time, std::function<void()>> events_;
  std::mt19937 random_{7};
  std::vector<entry_state> entries_;
  std::priority_queue<waiting_call> queue_;
  uint64_t order_ = 0;
  int running_ = 0;
  absl::Time thread_free_at_ = now_;
  busy_meter thread_{now_};
};

}  // namespace teaseljunction
