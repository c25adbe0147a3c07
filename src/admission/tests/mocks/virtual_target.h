#pragma once

#include <array>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "admission/admission_controller.h"

namespace teaseljunction {

/// A Poisson stream of calls, with the results of those calls.
struct call_stream {
  std::string account;
  request_priority priority = request_priority::kNormal;
  double calls_per_second = 0;
  /// Time from arrival to deadline in seconds.
  double deadline = 1;
  uint32_t depth = 0;
  // Results; `longest_wait` in seconds.
  int offered = 0, answered = 0, overloaded = 0, deadline_too_short = 0;
  double longest_wait = 0;
};

/// A simulated target behind an admission controller, in virtual time. Times are in seconds.
struct virtual_target {
  static constexpr double kStepSeconds = 0.00025;

  admission_controller controller = admission_controller_builder().Build();
  std::vector<call_stream> streams;
  double service_time = 0.01;
  /// Number of calls that run at full speed. More calls share the capacity.
  double servers = 100;
  /// Factor of the service time of each call, whatever the number of running calls.
  double slowdown = 1;
  /// The target sheds calls while it runs this many.
  size_t shed_above = 1000000;
  /// True when service times are exponentially distributed instead of equal.
  bool random_service_time = false;
  /// True when entry daemons refuse calls by the level of 20 ms before.
  bool refuse_at_entry = false;
  std::mt19937_64 random;
  double now = 0;
  int answered = 0;
  int max_running = 0;

  explicit virtual_target(uint64_t seed) : random(seed) {}

  absl::Time Time() const { return absl::UnixEpoch() + absl::Seconds(now); }

  /// Simulates `seconds` and returns the number of calls answered before their deadline.
  int Run(double seconds) {
    const int answered_before = answered;
    for (const double end = now + seconds; now < end; now += kStepSeconds) {
      RecordLevels();
      for (size_t i = 0; i < streams.size(); ++i) GenerateArrivals(i);
      AdvanceWork();
      if (controller.NextPoll(Time()) <= Time()) Apply(controller.Poll(Time()));
    }
    return answered - answered_before;
  }

  /// Sets the results of all streams to zero.
  void ResetResults() {
    for (call_stream& stream : streams) {
      stream = {stream.account, stream.priority, stream.calls_per_second, stream.deadline,
                stream.depth};
    }
  }

 private:
  struct simulated_call {
    size_t stream;
    double arrived, started, finish_work;
  };

  double Exponential(double rate) { return std::exponential_distribution<double>(rate)(random); }

  void RecordLevels() {
    if (!refuse_at_entry) return;
    for (const call_stream& stream : streams) {
      level_history_[stream.account].push_back(controller.LevelFor(stream.account, Time()));
    }
  }

  bool RefusedAtEntry(const call_stream& stream, uint8_t cohort) {
    if (!refuse_at_entry) return false;
    const auto& history = level_history_[stream.account];
    const auto delay_steps = static_cast<size_t>(0.02 / kStepSeconds);
    return history.size() > delay_steps &&
           !history[history.size() - 1 - delay_steps].Admits(stream.priority, cohort);
  }

  void GenerateArrivals(size_t index) {
    call_stream& stream = streams[index];
    if (stream.calls_per_second <= 0) return;
    const int count =
        std::poisson_distribution<int>(stream.calls_per_second * kStepSeconds)(random);
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
      Apply({controller.Submit(request, Time())});
    }
  }

  void Apply(const std::vector<admission_decision>& decisions) {
    for (const admission_decision& decision : decisions) {
      if (decision.verdict == admission_verdict::kStarted) Start(decision.call_id);
      if (decision.verdict == admission_verdict::kRefused) Refuse(decision);
    }
  }

  void Refuse(const admission_decision& decision) {
    call_stream& stream = streams[calls_.at(decision.call_id).stream];
    ++(decision.reason == error_kind::kOverloaded ? stream.overloaded : stream.deadline_too_short);
    calls_.erase(decision.call_id);
  }

  void Start(uint64_t id) {
    simulated_call& call = calls_.at(id);
    call_stream& stream = streams[call.stream];
    stream.longest_wait = std::max(stream.longest_wait, now - call.arrived);
    if (running_.size() >= shed_above) {
      calls_.erase(id);
      controller.Finish(id, target_result::kShed, absl::ZeroDuration(), Time());
      return;
    }
    call.started = now;
    call.finish_work =
        work_done_ + (random_service_time ? Exponential(1 / service_time) : service_time);
    running_.emplace(call.finish_work, id);
    max_running = std::max(max_running, static_cast<int>(running_.size()));
  }

  void AdvanceWork() {
    const double speed = std::min(1.0, servers / std::max<double>(1, running_.size()));
    work_done_ += kStepSeconds * speed / slowdown;
    while (!running_.empty() && running_.begin()->first <= work_done_) {
      const uint64_t id = running_.begin()->second;
      running_.erase(running_.begin());
      const simulated_call call = calls_.at(id);
      calls_.erase(id);
      call_stream& stream = streams[call.stream];
      const bool in_time = now - call.arrived <= stream.deadline;
      stream.answered += in_time ? 1 : 0;
      answered += in_time ? 1 : 0;
      controller.Finish(id, target_result::kAnswered, absl::Seconds(now - call.started), Time());
    }
  }

  uint64_t next_id_ = 1;
  double work_done_ = 0;
  std::map<uint64_t, simulated_call> calls_;
  std::multimap<double, uint64_t> running_;
  std::map<std::string, std::vector<overload_level>> level_history_;
};

}  // namespace teaseljunction
