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
class service_time_estimate;
class standing_queue_detector;

/// Settings of an `admission_controller`. The setters of `admission_controller_builder` describe
/// them.
struct admission_settings {
  size_t max_queue_calls = 1024;
  size_t max_queue_bytes = size_t{16} << 20;
  absl::Duration queue_delay_target = absl::Milliseconds(5);
  absl::Duration queue_interval = absl::Milliseconds(100);
  bool fixed_limit = false;
};

/// Decides for one target which calls start, are queued or are refused.
///
/// A free slot goes to the most important queued call: by priority, then depth, then the client
/// account with the fewest calls served, then age. Critical and high calls are served oldest first;
/// normal and low calls are served newest first while they have a standing queue.
///
/// Overload level and fairness: a separate level is computed for each client account. The admitted
/// rate is given to the priorities in order of importance; within the first priority that it does
/// not cover it is divided among the accounts by max-min fairness. An account that sends no more
/// than its fair share is therefore admitted in full, and one that sends more is cut by cohort to
/// that share. `LevelFor` returns the level of one account. `Level` returns the level of the
/// account that may send most, so a call above it is refused whichever account sends it. The level
/// follows the load with a delay; the fairness of the queue corrects its short-term errors. A call
/// above its level still starts when a slot is free and no call is queued.
///
/// Not thread-safe. Times that are passed in must not go backwards.
class admission_controller {
 public:
  explicit admission_controller(const admission_settings& settings);
  ~admission_controller();
  admission_controller(admission_controller&&) noexcept;
  admission_controller& operator=(admission_controller&&) noexcept;

  /// Sets the number of calls that the target can run at once. 0 means that there is no target;
  /// queued and new calls are then refused with kNoTarget.
  void SetSlots(uint32_t slots, absl::Time now);

  /// Drops the concurrency limit and the service times learned so far, because a new process of the
  /// target has started. Calls at the previous process no longer count as in flight; `Finish` may
  /// still be called for them.
  void ResetForColdTarget(absl::Time now);

  /// Decides about a new call. A call that gets kStarted is in flight until `Finish`. One that gets
  /// kQueued is decided by a later `Poll`, unless `Cancel` removes it. A new call can evict less
  /// important queued calls; the next `Poll` returns their refusals, and until then `NextPoll`
  /// returns `now`. Reasons for refusal: kOverloaded, kDeadlineTooShort, kNoTarget.
  admission_decision Submit(const admission_request& request, absl::Time now);

  /// Records the end of a started call. `service_time` is the time that it took at the target.
  /// Unknown ids are ignored. The caller should call `Poll` next, since a slot is free now.
  void Finish(uint64_t call_id, target_result result, absl::Duration service_time, absl::Time now);

  /// Removes a queued call whose caller has gone. Returns false when it is not queued.
  bool Cancel(uint64_t call_id, absl::Time now);

  /// Returns the decisions about queued calls that start or are refused now.
  std::vector<admission_decision> Poll(absl::Time now);

  /// Returns the latest time for the next call of `Poll` if nothing else happens before:
  /// InfiniteFuture when there is nothing to decide.
  absl::Time NextPoll(absl::Time now) const;

  /// Returns the level that applies to every client account: a call above it is refused.
  overload_level Level(absl::Time now) const;

  /// Returns the level of one client account. It admits no more than `Level`.
  overload_level LevelFor(absl::string_view client_account, absl::Time now) const;

  /// Returns the number of calls that may run at once: from 1 to the slots, or 0 without a target.
  uint32_t ConcurrencyLimit() const;

  /// Returns the number of calls in flight at the current process of the target.
  size_t InFlightCalls() const { return in_flight_; }

  /// Returns the number of queued calls.
  size_t QueuedCalls() const;

 private:
  struct running_call {
    request_priority priority;
    uint64_t target_generation;
    /// Measurement window of `concurrency_limit`.
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
  void RefuseOverAge(absl::Time now);
  /// Adds the time up to `now` to the utilization and ends the period if it is over.
  void Advance(absl::Time now);
  void EndPeriod(absl::Time now);

  admission_settings settings_;
  uint32_t slots_ = 0;
  size_t in_flight_ = 0;
  /// Incremented by `ResetForColdTarget`; identifies the current process of the target.
  uint64_t target_generation_ = 0;
  std::unique_ptr<concurrency_limit> concurrency_limit_;
  std::unique_ptr<call_queue> queue_;
  std::unique_ptr<standing_queue_detector> queue_detector_;
  std::unique_ptr<level_control> level_control_;
  std::unique_ptr<service_time_estimate> service_time_;
  absl::flat_hash_map<uint64_t, running_call> running_;
  /// Decisions that the next `Poll` returns.
  std::vector<admission_decision> pending_decisions_;
  /// Start of the current period. The queue and the level are evaluated once per period, which is
  /// half a queue interval.
  absl::Time period_start_;
  absl::Time last_advance_;
  /// Integral over the period of the fraction of the limit that was in use.
  absl::Duration busy_time_;
};

/// Builds an `admission_controller`.
class admission_controller_builder {
 public:
  /// Sets the maximum number of queued calls. Default 1024.
  admission_controller_builder& SetMaxQueueCalls(size_t calls);

  /// Sets the maximum total size of queued calls in bytes. Default 16 MiB.
  admission_controller_builder& SetMaxQueueBytes(size_t bytes);

  /// Sets the age of the oldest queued call above which a queue counts as standing. Default 5 ms.
  admission_controller_builder& SetQueueDelayTarget(absl::Duration target);

  /// Sets for how long that age has to stay above the delay target. Default 100 ms.
  admission_controller_builder& SetQueueInterval(absl::Duration interval);

  /// Sets whether the limit is always the number of slots. Meant for targets whose calls wait for
  /// child calls, since their service time says nothing about congestion. Default false.
  admission_controller_builder& SetFixedLimit(bool fixed);

  /// Returns a controller without a target; `SetSlots` adds it.
  admission_controller Build() const;

 private:
  admission_settings settings_;
};

}  // namespace teaseljunction
