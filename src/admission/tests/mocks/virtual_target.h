#pragma once

#include <array>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "admission/admission_controller.h"

namespace teaseljunction {

/// A stream of calls with random arrival times.
struct call_stream {
  std::string account;
  request_priority priority = request_priority::kNormal;
  double rate = 0;
  double deadline = 1;
  uint32_t depth = 0;
  // Results.
  int offered = 0, answered = 0, overloaded = 0, too_short = 0;
  double longest_wait = 0;
};

/// A target in virtual time behind an admission controller. Times are in seconds.
struct virtual_target {
  static constexpr double kStep = 0.00025;

  admission_controller controller = admission_controller_builder().Build();
  std::vector<call_stream> streams;
  double work = 0.01;
  /// Calls that run at full speed. More of them share the capacity.
  double servers = 100;
  /// Factor of each call's service time, whatever the number of calls.
  double slowdown = 1;
  /// Calls above this number are shed at once.
  size_t shed_above = 1000000;
  /// Service times are exponentially distributed instead of equal.
  bool random_work = false;
  /// Entry daemons refuse by the level that was in force 20 ms ago.
  bool refuse_at_entry = false;
  std::mt19937_64 random;
  double now = 0;
  int answered = 0;
  int max_running = 0;

  explicit virtual_target(uint64_t seed) : random(seed) {}

  absl::Time Time() const { return absl::UnixEpoch() + absl::Seconds(now); }

  /// Runs for `seconds` and returns the number of calls answered in time.
  int Run(double seconds) {
    const int before = answered;
    for (const double end = now + seconds; now < end; now += kStep) {
      RememberLevels();
      for (size_t i = 0; i < streams.size(); ++i) Arrivals(i);
      Progress();
      if (controller.NextPoll(Time()) <= Time()) Apply(controller.Poll(Time()));
    }
    return answered - before;
  }

  void ClearResults() {
    for (call_stream& stream : streams) {
      stream = {stream.account, stream.priority, stream.rate, stream.deadline, stream.depth};
    }
  }

 private:
  struct live_call {
    size_t stream;
    double arrived, started, finish_work;
  };

  double Exponential(double rate) { return std::exponential_distribution<double>(rate)(random); }

  void RememberLevels() {
    if (!refuse_at_entry) return;
    for (const call_stream& stream : streams) {
      levels_[stream.account].push_back(controller.LevelFor(stream.account, Time()));
    }
  }

  bool RefusedAtEntry(const call_stream& stream, uint8_t cohort) {
    if (!refuse_at_entry) return false;
    const auto& history = levels_[stream.account];
    const auto age = static_cast<size_t>(0.02 / kStep);
    return history.size() > age &&
           !history[history.size() - 1 - age].Admits(stream.priority, cohort);
  }

  void Arrivals(size_t index) {
    call_stream& stream = streams[index];
    if (stream.rate <= 0) return;
    const int count = std::poisson_distribution<int>(stream.rate * kStep)(random);
    for (int i = 0; i < count; ++i) {
      ++stream.offered;
      const auto cohort = static_cast<uint8_t>(random() % kCohortCount);
      if (RefusedAtEntry(stream, cohort)) {
        ++stream.overloaded;
        continue;
      }
      admission_request request;
      request.call_id = next_id_++;
      request.priority = stream.priority;
      request.cohort = cohort;
      request.depth = stream.depth;
      request.client_account = stream.account;
      request.deadline = Time() + absl::Seconds(stream.deadline);
      calls_[request.call_id] = {index, now, 0, 0};
      Apply({controller.Arrive(request, Time())});
    }
  }

  void Apply(const std::vector<admission_decision>& decisions) {
    for (const admission_decision& decision : decisions) {
      if (decision.verdict == admission_verdict::kStart) Start(decision.call_id);
      if (decision.verdict == admission_verdict::kRefused) Refuse(decision);
    }
  }

  void Refuse(const admission_decision& decision) {
    call_stream& stream = streams[calls_.at(decision.call_id).stream];
    ++(decision.reason == error_kind::kOverloaded ? stream.overloaded : stream.too_short);
    calls_.erase(decision.call_id);
  }

  void Start(uint64_t id) {
    live_call& call = calls_.at(id);
    call_stream& stream = streams[call.stream];
    stream.longest_wait = std::max(stream.longest_wait, now - call.arrived);
    if (running_.size() >= shed_above) {
      calls_.erase(id);
      controller.Finish(id, target_result::kShed, absl::ZeroDuration(), Time());
      return;
    }
    call.started = now;
    call.finish_work = done_ + (random_work ? Exponential(1 / work) : work);
    running_.emplace(call.finish_work, id);
    max_running = std::max(max_running, static_cast<int>(running_.size()));
  }

  void Progress() {
    const double share = std::min(1.0, servers / std::max<double>(1, running_.size()));
    done_ += kStep * share / slowdown;
    while (!running_.empty() && running_.begin()->first <= done_) {
      const uint64_t id = running_.begin()->second;
      running_.erase(running_.begin());
      const live_call call = calls_.at(id);
      calls_.erase(id);
      call_stream& stream = streams[call.stream];
      const bool in_time = now - call.arrived <= stream.deadline;
      stream.answered += in_time ? 1 : 0;
      answered += in_time ? 1 : 0;
      controller.Finish(id, target_result::kAnswered, absl::Seconds(now - call.started), Time());
    }
  }

  uint64_t next_id_ = 1;
  double done_ = 0;
  std::map<uint64_t, live_call> calls_;
  std::multimap<double, uint64_t> running_;
  std::map<std::string, std::vector<overload_level>> levels_;
};

}  // namespace teaseljunction
