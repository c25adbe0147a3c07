#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "balancer/balancer.h"
#include "balancer/tests/mocks/fake_service.h"

namespace teaseljunction {

/// Number of data centres.
constexpr size_t kPlaces = 3;

/// What callers and targets saw in one run.
struct simulation_result {
  /// Time that calls waited for a slot, in seconds.
  double mean_wait = 0;
  double p99_wait = 0;
  /// Fraction of the calls that failed because their target was cut off.
  double failed = 0;
  /// Fraction of the calls that left their data centre.
  double remote = 0;
  /// Calls per target, as a fraction of all calls.
  std::vector<double> share;
  /// Mean of the running and waiting calls per slot, and its standard deviation in steps of 100 ms.
  std::vector<double> load;
  std::vector<double> swing;
};

/// 100 daemons with a balancer each, in three data centres with the same number of targets each, in
/// virtual time. Targets have FIFO queues. Daemons learn of the load from the responses only.
class service_simulation {
 public:
  static constexpr size_t kDaemons = 100;
  static constexpr double kSlots = 105;

  struct fake_target {
    double speed = 1;
    /// Calls per second that arrive at the daemons of its data centre, before the wave.
    double demand = 0;
    bool reports = true;
    bool cut_off = false;
    /// The target reports its load times this factor.
    double report_factor = 1;
    double running = 0;
    std::deque<std::function<void()>> queue;

    double Load() const { return (running + static_cast<double>(queue.size())) / kSlots; }
  };

  /// `wave` is the amplitude of the demand in relation to its mean; `period` is in seconds.
  service_simulation(uint64_t seed, bool planned, double wave, double period,
                     size_t targets_per_place = 1)
      : targets(kPlaces * targets_per_place), random_(seed), wave_(wave), period_(period) {
    std::vector<balancer_target> announced;
    for (size_t i = 0; i < targets.size(); ++i) {
      announced.push_back(MakeTarget(i, Place(i % kPlaces)));
      announced.back().slots = static_cast<uint32_t>(kSlots);
    }
    for (size_t i = 0; i < kDaemons; ++i) {
      daemons_.push_back(balancer_builder()
                             .SetDaemonId("entry-" + std::to_string(i))
                             .SetDataCentre(Place(i % kPlaces))
                             .SetRandomSource(&random_)
                             .Build());
      daemons_.back().SetPlanned(planned);
      daemons_.back().SetTargets(announced, start_);
    }
    for (size_t i = 0; i < targets.size(); ++i) targets[i].speed = 0.5 + 0.5 * (i % kPlaces);
  }

  /// Sets the demand of each data centre to a fraction of the capacity of an average target.
  void SetDemand(double fraction) {
    for (fake_target& target : targets) target.demand = fraction * kSlots / work;
  }

  /// Runs for `seconds` and returns what was seen in this time.
  simulation_result Run(double seconds) {
    waits_.clear();
    calls_ = failed_ = remote_ = 0;
    sent_.assign(targets.size(), 0);
    const double end = now_ + seconds;
    for (size_t place = 0; place < kPlaces; ++place) At(now_, [=, this] { Arrive(place, end); });
    std::vector<std::vector<double>> loads(targets.size());
    for (double at = now_; at < end; at += 0.1) {
      At(at, [this, &loads] {
        for (size_t i = 0; i < targets.size(); ++i) loads[i].push_back(targets[i].Load());
      });
    }
    while (!events_.empty() && events_.begin()->first < end) {
      auto first = events_.extract(events_.begin());
      now_ = first.key();
      first.mapped()();
    }
    now_ = end;
    return Summarize(loads);
  }

  std::vector<fake_target> targets;
  /// Seconds that one call takes at a target of speed 1.
  double work = 0.036;
  absl::Duration target_latency = absl::Milliseconds(1200);

 private:
  static std::string Place(size_t index) { return std::string(1, static_cast<char>('a' + index)); }
  static double Delay(size_t from, size_t to) { return from == to ? 0.0001 : 0.0005; }

  absl::Time Now() const { return start_ + absl::Seconds(now_); }
  void At(double time, std::function<void()> event) { events_.emplace(time, std::move(event)); }

  void Arrive(size_t place, double end) {
    const double phase = now_ / period_ + static_cast<double>(place) / kPlaces;
    const double rate = targets[place].demand * (1 + wave_ * std::sin(2 * M_PI * phase));
    Send(place);
    const double next = now_ - std::log(1 - random_.Fraction()) / rate;
    if (next < end) At(next, [=, this] { Arrive(place, end); });
  }

  void Send(size_t place) {
    const size_t index =
        random_.Below((kDaemons - place + kPlaces - 1) / kPlaces) * kPlaces + place;
    balancer& daemon = daemons_[index];
    const auto choice =
        daemon.ChooseTarget("stock", request_priority::kNormal, 64, {}, Now(), target_latency);
    const size_t chosen = std::stoul(choice->daemon_id.substr(7));
    daemon.OnAttemptStarted(choice->daemon_id, Now());
    ++calls_;
    ++sent_[chosen];
    if (choice->other_data_centre) ++remote_;
    const double sent_at = now_;
    if (targets[chosen].cut_off && place != chosen % kPlaces) {
      ++failed_;
      At(now_ + 0.2, [=, this] { Finish(index, chosen, sent_at, attempt_result::kFailed, 0); });
      return;
    }
    At(now_ + Delay(place, chosen % kPlaces), [=, this] { Enqueue(index, chosen, sent_at); });
  }

  void Enqueue(size_t daemon, size_t chosen, double sent_at) {
    targets[chosen].queue.push_back([=, this, arrived_at = now_] {
      waits_.push_back(now_ - arrived_at);
      const double time = work / targets[chosen].speed * (0.75 + 0.5 * random_.Fraction());
      At(now_ + time, [=, this] {
        --targets[chosen].running;
        StartNext(chosen);
        const fake_target& target = targets[chosen];
        const double load = target.Load() * target.report_factor;
        At(now_ + Delay(daemon % kPlaces, chosen % kPlaces),
           [=, this] { Finish(daemon, chosen, sent_at, attempt_result::kAnswered, load); });
      });
    });
    StartNext(chosen);
  }

  void StartNext(size_t index) {
    fake_target& target = targets[index];
    if (target.running >= kSlots || target.queue.empty()) return;
    ++target.running;
    const auto start = std::move(target.queue.front());
    target.queue.pop_front();
    start();
  }

  void Finish(size_t daemon, size_t chosen, double sent_at, attempt_result result, double load) {
    const std::string id = "daemon-" + std::to_string(chosen);
    daemons_[daemon].OnAttemptFinished(id, result, absl::Seconds(now_ - sent_at), {}, Now());
    if (targets[chosen].reports) daemons_[daemon].ReportLoad(id, load, Now());
  }

  simulation_result Summarize(const std::vector<std::vector<double>>& loads) {
    simulation_result seen;
    std::sort(waits_.begin(), waits_.end());
    for (const double wait : waits_) seen.mean_wait += wait / static_cast<double>(waits_.size());
    if (!waits_.empty()) seen.p99_wait = waits_[waits_.size() * 99 / 100];
    seen.failed = failed_ / calls_;
    seen.remote = remote_ / calls_;
    for (size_t i = 0; i < targets.size(); ++i) {
      seen.share.push_back(sent_[i] / calls_);
      seen.load.push_back(0);
      seen.swing.push_back(0);
      const auto count = static_cast<double>(loads[i].size());
      for (const double load : loads[i]) seen.load[i] += load / count;
      for (const double load : loads[i])
        seen.swing[i] += (load - seen.load[i]) * (load - seen.load[i]) / count;
      seen.swing[i] = std::sqrt(seen.swing[i]);
    }
    return seen;
  }

  seeded_random random_;
  const double wave_;
  const double period_;
  const absl::Time start_ = absl::FromUnixSeconds(1000);
  double now_ = 0;
  std::multimap<double, std::function<void()>> events_;
  std::vector<balancer> daemons_;
  std::vector<double> waits_;
  double calls_ = 0;
  double failed_ = 0;
  double remote_ = 0;
  std::vector<double> sent_;
};

}  // namespace teaseljunction
