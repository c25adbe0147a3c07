#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "admission/admission_controller.h"
#include "balancer/balancer.h"
#include "balancer/retry_budget.h"
#include "bench/replay.h"
#include "common/random_source.h"

namespace teaseljunction {

/// Virtual time with an ordered queue of events.
class event_queue {
 public:
  absl::Time Now() const { return now_; }

  void At(absl::Time when, std::function<void()> action) {
    events_.push({std::max(when, now_), next_++, std::move(action)});
  }
  void After(absl::Duration delay, std::function<void()> action) {
    At(now_ + delay, std::move(action));
  }

  /// Runs all events up to `end`.
  void RunUntil(absl::Time end);

 private:
  struct event {
    absl::Time when;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::tie(other.when, other.order) < std::tie(when, order);
    }
  };

  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  uint64_t next_ = 0;
  std::priority_queue<event> events_;
};

/// Random numbers that are the same in each replay.
class replay_random : public random_source {
 public:
  explicit replay_random(uint64_t seed) : state_(seed) {}
  uint64_t Next() override;

 private:
  uint64_t state_;
};

/// Admission in front of one target.
class target_gate {
 public:
  virtual ~target_gate() = default;
  virtual admission_decision Arrive(const admission_request& request, absl::Time now) = 0;
  virtual void Finish(uint64_t call_id, target_result result, absl::Duration service_time,
                      absl::Time now) = 0;
  virtual void Cancel(uint64_t, absl::Time) {}
  virtual std::vector<admission_decision> Poll(absl::Time) { return {}; }
  virtual absl::Time NextPoll(absl::Time) const { return absl::InfiniteFuture(); }
  virtual overload_level Level(absl::Time) const { return {}; }
  virtual void Restart(absl::Time) {}
};

/// Choice of targets and retries at one daemon.
class hop_policy {
 public:
  virtual ~hop_policy() = default;
  virtual bool Admits(const std::string& service, request_priority priority, uint8_t cohort,
                      absl::Time now) = 0;
  virtual absl::optional<int> Choose(const std::string& service, request_priority priority,
                                     uint8_t cohort, const std::vector<std::string>& tried,
                                     absl::Time now) = 0;
  virtual void Started(int target, absl::Time now) = 0;
  virtual void Finished(int target, attempt_result result, absl::Duration latency,
                        const overload_level& level, absl::Time now) = 0;
  /// Returns the delay before the next attempt, or nothing.
  virtual absl::optional<absl::Duration> Retry(const std::string& service, error_kind failure,
                                               bool idempotent, uint32_t attempts,
                                               absl::Duration time_left, absl::Time now) = 0;
  virtual void FirstAttempt(const std::string& service, absl::Time now) = 0;
};

/// Returns the gate of a policy for a target with `slots` slots.
std::unique_ptr<target_gate> MakeGate(const replay_policy& policy, uint32_t slots, absl::Time now);

/// Returns the hop policy of the daemon `daemon_id`. Targets are given with numbers as addresses.
std::unique_ptr<hop_policy> MakeHopPolicy(const replay_policy& policy, const std::string& daemon_id,
                                          const std::string& data_centre,
                                          absl::Span<const balancer_target> targets,
                                          random_source& random, absl::Time now);

/// A stand-in for a target: slots, a first-in-first-out queue for calls above them, cold start.
class fake_target {
 public:
  explicit fake_target(int slots) : slots_(slots) {}

  /// Calls `start` when a slot is free.
  void Begin(std::function<void()> start);
  /// Frees the slot of a call.
  void End();
  /// Loses all calls. They do not end.
  void Restart(absl::Time now);

  /// Factor by which work takes longer at `now` after a cold start.
  double ColdFactor(absl::Time now) const;
  /// Counts the starts; calls of earlier starts are lost.
  int Generation() const { return generation_; }

 private:
  int slots_;
  int running_ = 0;
  int generation_ = 0;
  absl::Time cold_until_ = absl::InfinitePast();
  std::deque<std::function<void()>> waiting_;
};

}  // namespace teaseljunction
