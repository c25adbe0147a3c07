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

/// Event queue of a discrete-event simulation with virtual time. Events of the same time run in the
/// order in which they were scheduled.
class event_queue {
 public:
  absl::Time Now() const { return now_; }

  /// Schedules `action` at `when`, or now if `when` is in the past.
  void ScheduleAt(absl::Time when, std::function<void()> action) {
    events_.push({std::max(when, now_), next_sequence_++, std::move(action)});
  }
  /// Schedules `action` after `delay`.
  void ScheduleAfter(absl::Duration delay, std::function<void()> action) {
    ScheduleAt(now_ + delay, std::move(action));
  }

  /// Runs all events up to and including `end`, then advances the time to `end`.
  void RunUntil(absl::Time end);

 private:
  struct event {
    absl::Time when;
    uint64_t sequence;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::tie(other.when, other.sequence) < std::tie(when, sequence);
    }
  };

  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  uint64_t next_sequence_ = 0;
  std::priority_queue<event> events_;
};

/// Seeded pseudo-random numbers, so that each replay gives the same result.
class replay_random : public random_source {
 public:
  explicit replay_random(uint64_t seed) : state_(seed) {}
  uint64_t Next() override;

 private:
  uint64_t state_;
};

/// Admission control in front of one target. The member functions correspond to those of
/// admission_controller.
class target_admission {
 public:
  virtual ~target_admission() = default;
  virtual admission_decision Submit(const admission_request& request, absl::Time now) = 0;
  virtual void Finish(uint64_t call_id, target_result result, absl::Duration service_time,
                      absl::Time now) = 0;
  virtual void Cancel(uint64_t, absl::Time) {}
  virtual std::vector<admission_decision> Poll(absl::Time) { return {}; }
  virtual absl::Time NextPoll(absl::Time) const { return absl::InfiniteFuture(); }
  virtual overload_level Level(absl::Time) const { return {}; }
  virtual void Restart(absl::Time) {}
};

/// Target selection and retries at one daemon. Targets are given by their index.
class routing_policy {
 public:
  virtual ~routing_policy() = default;
  /// Returns false when the call is to be refused before a target is selected.
  virtual bool AnyTargetAdmits(const std::string& service, request_priority priority,
                               uint8_t cohort, absl::Time now) = 0;
  /// Returns a target of `service`, or nothing when none is available. `tried` holds the targets of
  /// earlier attempts.
  virtual absl::optional<int> ChooseTarget(const std::string& service, request_priority priority,
                                           uint8_t cohort, const std::vector<std::string>& tried,
                                           absl::Time now) = 0;
  virtual void RecordStart(int target, absl::Time now) = 0;
  virtual void RecordFinish(int target, attempt_result result, absl::Duration latency,
                            const overload_level& level, absl::Time now) = 0;
  /// Returns the delay before the next attempt, or nothing when the call is not retried.
  virtual absl::optional<absl::Duration> RetryDelay(const std::string& service, error_kind failure,
                                                    bool idempotent, uint32_t attempts,
                                                    absl::Duration time_left, absl::Time now) = 0;
  virtual void RecordFirstAttempt(const std::string& service, absl::Time now) = 0;
};

/// Returns the admission control of a policy for a target with `slots` slots.
std::unique_ptr<target_admission> MakeTargetAdmission(const replay_policy& policy, uint32_t slots,
                                                      absl::Time now);

/// Returns the routing policy of the daemon `daemon_id`. The address of each target is its index in
/// decimal. `random` must outlive the result.
std::unique_ptr<routing_policy> MakeRoutingPolicy(const replay_policy& policy,
                                                  const std::string& daemon_id,
                                                  const std::string& data_centre,
                                                  absl::Span<const balancer_target> targets,
                                                  random_source& random, absl::Time now);

/// Simulated target with a number of slots, a FIFO queue for excess calls, and a slow phase after
/// each restart.
class simulated_target {
 public:
  explicit simulated_target(int slots) : slots_(slots) {}

  /// Calls `start` as soon as a slot is free, possibly at once.
  void AcquireSlot(std::function<void()> start);
  /// Releases the slot of a finished call and starts the next queued call.
  void ReleaseSlot();
  /// Drops all running and queued calls without finishing them.
  void Restart(absl::Time now);

  /// Returns the factor by which work takes longer at `now`; above 1 for some time after a restart.
  double ColdWorkFactor(absl::Time now) const;
  /// Number of restarts so far. Calls that began in an earlier generation are lost.
  int Generation() const { return generation_; }

 private:
  int slots_;
  int running_ = 0;
  int generation_ = 0;
  absl::Time cold_until_ = absl::InfinitePast();
  std::deque<std::function<void()>> waiting_;
};

}  // namespace teaseljunction
