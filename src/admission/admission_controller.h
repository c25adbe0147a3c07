#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "admission/types.h"
#include "common/types.h"

namespace teaseljunction {

class call_queue;
class concurrency_limit;
class level_control;
class queue_watch;
class service_time_estimate;

/// Settings of an `admission_controller`. See the setters of `admission_controller_builder`.
struct admission_settings {
  size_t max_queue_calls = 1024;
  size_t max_queue_bytes = size_t{16} << 20;
  absl::Duration queue_delay_target = absl::Milliseconds(5);
  absl::Duration queue_interval = absl::Milliseconds(100);
  bool fixed_limit = false;
};

/// Decides for one target which calls start, wait or are refused.
///
/// Free slots go to the most important queued call: by priority, then depth, then the client
/// account with the fewest calls served, then age. Critical and high calls are served oldest first;
/// normal and low calls are served newest first while there is a standing queue.
///
/// Level and fairness: the position of the overload level is computed per client account. Admitted
/// calls per second are divided by priority, and within the priority at which they run out by
/// max-min fairness over accounts. An account that sends no more than its fair part is therefore
/// admitted in full, and one that sends more is cut by cohort to that part. `LevelFor` returns the
/// level of one account; `Level` returns the most open one, so a call above it is refused whichever
/// account sends it. The fairness in the queue corrects the short-term errors of the level, which
/// follows with a delay. A call above its level still starts when slots are free and no call waits.
///
/// Not thread-safe. Times must not go back.
class admission_controller {
 public:
  explicit admission_controller(const admission_settings& settings);
  ~admission_controller();
  admission_controller(admission_controller&&) noexcept;
  admission_controller& operator=(admission_controller&&) noexcept;

  /// Sets the number of calls that the target can run at once. 0 means that there is no target:
  /// queued and arriving calls are then refused with kNoTarget.
  void SetSlots(uint32_t slots, absl::Time now);

  /// Forgets what was learned about the target, because a new process of it has started. Calls in
  /// flight at the former process no longer count as in flight; `Finish` may still be called.
  void ResetForColdTarget(absl::Time now);

  /// Decides about a new call. A call that gets kStart is in flight until `Finish`; one that gets
  /// kQueued is decided by a later `Poll`, unless `Cancel` removes it. An arrival can evict a less
  /// important queued call; the next `Poll` returns that refusal, and `NextPoll` is `now`.
  /// Reasons of refusals: kOverloaded, kDeadlineTooShort, kNoTarget.
  admission_decision Arrive(const admission_request& request, absl::Time now);

  /// Ends a started call. `service_time` is the time it took at the target. Unknown ids are
  /// ignored. `Poll` should follow, since a slot is free now.
  void Finish(uint64_t call_id, target_result result, absl::Duration service_time, absl::Time now);

  /// Removes a queued call, because its caller has gone. False when it is not queued.
  bool Cancel(uint64_t call_id, absl::Time now);

  /// Returns the queued calls that start or are refused now.
  std::vector<admission_decision> Poll(absl::Time now);

  /// Returns the time at which `Poll` has to be called at the latest, if nothing else happens.
  /// InfiniteFuture when there is nothing to decide.
  absl::Time NextPoll(absl::Time now) const;

  /// Returns the level that holds for calls of every client account.
  overload_level Level(absl::Time now) const;

  /// Returns the level for calls of one client account. It is at most as open as `Level`.
  overload_level LevelFor(absl::string_view client_account, absl::Time now) const;

  /// Returns the number of calls that may run at once: from 1 to the slots, 0 without a target.
  uint32_t Limit() const;

  /// Returns the number of calls that run at the current process of the target.
  size_t InFlight() const { return in_flight_; }

  /// Returns the number of calls that wait.
  size_t Queued() const;

 private:
  struct running_call {
    request_priority priority;
    uint64_t process;
    /// Window of measurement of `concurrency_limit`.
    uint64_t window;
  };

  bool HasFreeSlot() const;
  bool CannotMeetDeadline(request_priority priority, absl::Time deadline, absl::Time now) const;
  void Start(uint64_t call_id, request_priority priority);
  admission_decision Enqueue(const admission_request& request, absl::Time now);
  void StartQueued(absl::Time now);
  void Refuse(uint64_t call_id, error_kind reason);
  void RefuseAllQueued(error_kind reason);
  void RefuseExpired(absl::Time now);
  void RefuseStale(absl::Time now);
  /// Accounts for the time up to `now` and ends the period when it is over.
  void Advance(absl::Time now);
  void EndPeriod(absl::Time now);

  admission_settings settings_;
  uint32_t slots_ = 0;
  size_t in_flight_ = 0;
  /// Number of the target's current process, counted by `ResetForColdTarget`.
  uint64_t process_ = 0;
  std::unique_ptr<concurrency_limit> limit_;
  std::unique_ptr<call_queue> queue_;
  std::unique_ptr<queue_watch> watch_;
  std::unique_ptr<level_control> level_;
  std::unique_ptr<service_time_estimate> service_time_;
  absl::flat_hash_map<uint64_t, running_call> running_;
  /// Decisions that the next `Poll` returns.
  std::vector<admission_decision> pending_;
  /// The queue and the level are examined once a period, twice per queue interval.
  absl::Time period_start_;
  absl::Time accounted_until_;
  /// Sum over the period of time multiplied by the part of the limit that was in use.
  absl::Duration used_time_;
};

/// Builds an `admission_controller`.
class admission_controller_builder {
 public:
  /// Sets the most calls that wait at once. Default 1024.
  admission_controller_builder& SetMaxQueueCalls(size_t calls);

  /// Sets the most bytes of calls that wait at once. Default 16 MiB.
  admission_controller_builder& SetMaxQueueBytes(size_t bytes);

  /// Sets the queue time above which a queue that does not drain counts as overload. Default 5 ms.
  admission_controller_builder& SetQueueDelayTarget(absl::Duration target);

  /// Sets for how long the queue time has to stay above the target value. Default 100 ms.
  admission_controller_builder& SetQueueInterval(absl::Duration interval);

  /// With true, the slots are the limit. For targets whose calls wait for calls of their own: their
  /// service time says nothing about their congestion. Default false.
  admission_controller_builder& SetFixedLimit(bool fixed);

  /// Returns a controller without a target. `SetSlots` gives it one.
  admission_controller Build() const;

 private:
  admission_settings settings_;
};

}  // namespace teaseljunction
