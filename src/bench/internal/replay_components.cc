#include "bench/replay_components.h"

#include <set>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "balancer/retry_policy.h"

namespace teaseljunction {
namespace {

constexpr size_t kFixedLimitQueueCalls = 1000;
constexpr absl::Duration kColdStartDuration = absl::Seconds(5);
constexpr double kColdWorkFactor = 3;

class adaptive_admission : public target_admission {
 public:
  adaptive_admission(uint32_t slots, absl::Time now)
      : controller_(admission_controller_builder().Build()) {
    controller_.SetSlots(slots, now);
  }
  admission_decision Submit(const admission_request& request, absl::Time now) override {
    return controller_.Submit(request, now);
  }
  void Finish(uint64_t call_id, target_result result, absl::Duration service_time,
              absl::Time now) override {
    controller_.Finish(call_id, result, service_time, now);
  }
  void Cancel(uint64_t call_id, absl::Time now) override { controller_.Cancel(call_id, now); }
  std::vector<admission_decision> Poll(absl::Time now) override { return controller_.Poll(now); }
  absl::Time NextPoll(absl::Time now) const override { return controller_.NextPoll(now); }
  overload_level Level(absl::Time now) const override { return controller_.Level(now); }
  void Restart(absl::Time now) override { controller_.ResetForColdTarget(now); }

 private:
  admission_controller controller_;
};

class fixed_limit_admission : public target_admission {
 public:
  explicit fixed_limit_admission(uint32_t limit) : limit_(limit) {}
  admission_decision Submit(const admission_request& request, absl::Time) override {
    if (running_.size() < limit_) {
      running_.insert(request.call_id);
      return {request.call_id, admission_verdict::kStarted, {}};
    }
    if (queue_.size() >= kFixedLimitQueueCalls) {
      return {request.call_id, admission_verdict::kRefused, error_kind::kOverloaded};
    }
    queue_.push_back(request.call_id);
    return {request.call_id, admission_verdict::kQueued, {}};
  }
  void Finish(uint64_t call_id, target_result, absl::Duration, absl::Time) override {
    running_.erase(call_id);
  }
  std::vector<admission_decision> Poll(absl::Time) override {
    std::vector<admission_decision> started;
    while (running_.size() < limit_ && !queue_.empty()) {
      running_.insert(queue_.front());
      started.push_back({queue_.front(), admission_verdict::kStarted, {}});
      queue_.pop_front();
    }
    return started;
  }
  void Restart(absl::Time) override { running_.clear(); }

 private:
  const size_t limit_;
  std::set<uint64_t> running_;
  std::deque<uint64_t> queue_;
};

class unlimited_admission : public target_admission {
 public:
  admission_decision Submit(const admission_request& request, absl::Time) override {
    return {request.call_id, admission_verdict::kStarted, {}};
  }
  void Finish(uint64_t, target_result, absl::Duration, absl::Time) override {}
};

int ParseTargetIndex(const std::string& address) {
  int index = 0;
  return absl::SimpleAtoi(address, &index) ? index : 0;
}

class balancer_routing_policy : public routing_policy {
 public:
  balancer_routing_policy(balancer instance, random_source& random)
      : balancer_(std::move(instance)), random_(random) {}
  balancer& Balancer() { return balancer_; }
  bool AnyTargetAdmits(const std::string& service, request_priority priority, uint8_t cohort,
                       absl::Time now) override {
    return balancer_.AnyTargetAdmits(service, priority, cohort, now);
  }
  absl::optional<int> ChooseTarget(const std::string& service, request_priority priority,
                                   uint8_t cohort, const std::vector<std::string>& tried,
                                   absl::Time now) override {
    const auto choice = balancer_.ChooseTarget(service, priority, cohort, tried, now);
    if (!choice) return absl::nullopt;
    return ParseTargetIndex(choice->address);
  }
  void RecordStart(int target, absl::Time now) override {
    balancer_.OnAttemptStarted(absl::StrCat(target), now);
  }
  void RecordFinish(int target, attempt_result result, absl::Duration latency,
                    const overload_level& level, absl::Time now) override {
    balancer_.OnAttemptFinished(absl::StrCat(target), result, latency, level, now);
  }
  absl::optional<absl::Duration> RetryDelay(const std::string& service, error_kind failure,
                                            bool idempotent, uint32_t attempts,
                                            absl::Duration time_left, absl::Time now) override {
    return DecideRetry({.service = service,
                        .kind = failure,
                        .idempotent = idempotent,
                        .has_claim = !idempotent,
                        .attempts_made = attempts,
                        .crash_count = 0,
                        .time_left = time_left},
                       retry_budget_, random_, now);
  }
  void RecordFirstAttempt(const std::string& service, absl::Time now) override {
    retry_budget_.RecordFirstAttempt(service, now);
  }

 private:
  balancer balancer_;
  retry_budget retry_budget_;
  random_source& random_;
};

class random_routing_policy : public routing_policy {
 public:
  random_routing_policy(int retries, absl::Span<const balancer_target> targets,
                        random_source& random)
      : max_retries_(retries), targets_(targets.begin(), targets.end()), random_(random) {}
  bool AnyTargetAdmits(const std::string&, request_priority, uint8_t, absl::Time) override {
    return true;
  }
  absl::optional<int> ChooseTarget(const std::string& service, request_priority, uint8_t,
                                   const std::vector<std::string>&, absl::Time) override {
    std::vector<int> candidates;
    for (const balancer_target& target : targets_) {
      if (target.service == service) candidates.push_back(ParseTargetIndex(target.address));
    }
    if (candidates.empty()) return absl::nullopt;
    return candidates[random_.Below(candidates.size())];
  }
  void RecordStart(int, absl::Time) override {}
  void RecordFinish(int, attempt_result, absl::Duration, const overload_level&,
                    absl::Time) override {}
  absl::optional<absl::Duration> RetryDelay(const std::string&, error_kind, bool, uint32_t attempts,
                                            absl::Duration, absl::Time) override {
    if (static_cast<int>(attempts) > max_retries_) return absl::nullopt;
    return absl::ZeroDuration();
  }
  void RecordFirstAttempt(const std::string&, absl::Time) override {}

 private:
  const int max_retries_;
  const std::vector<balancer_target> targets_;
  random_source& random_;
};

}  // namespace

void event_queue::RunUntil(absl::Time end) {
  while (!events_.empty() && events_.top().when <= end) {
    now_ = events_.top().when;
    const std::function<void()> action = std::move(const_cast<event&>(events_.top()).action);
    events_.pop();
    action();
  }
  now_ = end;
}

// SplitMix64.
uint64_t replay_random::Next() {
  uint64_t mixed = (state_ += 0x9e3779b97f4a7c15);
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return mixed ^ (mixed >> 31);
}

std::unique_ptr<target_admission> MakeTargetAdmission(const replay_policy& policy, uint32_t slots,
                                                      absl::Time now) {
  switch (policy.admission) {
    case replay_policy::admission_kind::kAdaptive:
      return std::make_unique<adaptive_admission>(slots, now);
    case replay_policy::admission_kind::kFixedLimit:
      return std::make_unique<fixed_limit_admission>(slots);
    case replay_policy::admission_kind::kUnlimited:
      return std::make_unique<unlimited_admission>();
  }
  return nullptr;
}

std::unique_ptr<routing_policy> MakeRoutingPolicy(const replay_policy& policy,
                                                  const std::string& daemon_id,
                                                  const std::string& data_centre,
                                                  absl::Span<const balancer_target> targets,
                                                  random_source& random, absl::Time now) {
  if (!policy.uses_balancer) {
    return std::make_unique<random_routing_policy>(policy.max_retries_per_hop, targets, random);
  }
  auto policy_instance = std::make_unique<balancer_routing_policy>(balancer_builder()
                                                                       .SetDaemonId(daemon_id)
                                                                       .SetDataCentre(data_centre)
                                                                       .SetRandomSource(&random)
                                                                       .Build(),
                                                                   random);
  policy_instance->Balancer().SetTargets(targets, now);
  return policy_instance;
}

void simulated_target::AcquireSlot(std::function<void()> start) {
  if (running_ >= slots_) {
    waiting_.push_back(std::move(start));
    return;
  }
  ++running_;
  start();
}

void simulated_target::ReleaseSlot() {
  --running_;
  if (waiting_.empty()) return;
  const std::function<void()> next = std::move(waiting_.front());
  waiting_.pop_front();
  ++running_;
  next();
}

void simulated_target::Restart(absl::Time now) {
  ++generation_;
  running_ = 0;
  waiting_.clear();
  cold_until_ = now + kColdStartDuration;
}

double simulated_target::ColdWorkFactor(absl::Time now) const {
  return now < cold_until_ ? kColdWorkFactor : 1;
}

}  // namespace teaseljunction
