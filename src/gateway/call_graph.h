#pragma once

#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "common/types.h"
#include "manifest/types.h"
#include "overload/call_rank.h"
#include "overload/call_ratio_estimator.h"
#include "overload/capacity_plan.h"
#include "overload/entry_admission.h"
#include "overload/return_schedule.h"
#include "overload/route_cost_table.h"
#include "overload/route_durations.h"
#include "overload/running_executions.h"

namespace teaseljunction {

/// Call ratios, route costs, durations and service loads learned from the calls that pass through
/// this daemon. Thread-safe.
class call_graph {
 public:
  /// Sets how overload is handled, as the manifest in force says. Takes effect for later calls.
  void SetOverloadControl(overload_control_mode mode);

  /// Counts one execution started at the local target.
  void RecordExecutionStart(const call& request, absl::Time now);

  /// Called at the end of an execution that was started with this request id.
  void RecordExecutionEnd(absl::string_view request_id);

  /// Counts one child call made by the local target.
  void RecordChildCall(absl::string_view request_id, absl::string_view route, absl::Time now);

  /// Returns the rank of a child call made by the local target, or nothing if the execution that
  /// made it is not known.
  absl::optional<call_rank> RankOfChild(absl::string_view request_id) const;

  /// Records the costs reported with the response to a call of `route`.
  void RecordCosts(absl::string_view route, absl::Span<const service_cost> reported,
                   absl::Time now);

  /// Returns the cost of a route served by the local target. `own` is the cost at the target's own
  /// service.
  route_cost CostOf(absl::string_view route, const service_cost& own, absl::Time now) const;

  /// Counts a new request and returns a service that has no capacity for it, or nothing when it can
  /// be admitted.
  absl::optional<capacity_shortage> FindOverloadedService(const call& request, absl::Time now);

  /// Called for an admitted request that was refused before its first attempt.
  void RecordWithdrawn(const call& request, absl::Time now);

  /// Called at the end of an admitted request that was sent to a target. `served` is false if it
  /// failed.
  void RecordEnded(const call& request, bool served, absl::Time now);

  /// Returns the capacity plan in the Prometheus text format; empty unless it is in use.
  std::string FormatPrometheus(absl::Time now) const;

  /// See `return_schedule`. Without planned overload control, all requests are new ones, and
  /// nothing is returned as the delay.
  void RecordEntryAdmitted(request_priority priority, absl::Time now);
  return_decision RedeemReturn(absl::string_view fingerprint, absl::optional<absl::Time> deadline,
                               absl::Time now);
  absl::optional<return_delay> ScheduleReturn(const refused_request& request, absl::Time now);
  return_counts TakeReturnCounts();

  /// See `route_durations`. The calls are those that enter the system at this daemon.
  void RecordEntryStart(absl::string_view route, absl::Time started_at);
  void RecordEntryEnd(absl::string_view route, absl::Time started_at, bool counts, absl::Time now);
  absl::Duration ExpectedDuration(absl::string_view route, absl::Time now) const;

 private:
  planned_request PlannedRequestOf(const call& request) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  overload_control_mode mode_ ABSL_GUARDED_BY(mutex_) = overload_control_mode::kReactive;
  running_executions executions_ ABSL_GUARDED_BY(mutex_);
  call_ratio_estimator ratios_ ABSL_GUARDED_BY(mutex_);
  route_cost_table costs_ ABSL_GUARDED_BY(mutex_);
  entry_admission admission_ ABSL_GUARDED_BY(mutex_);
  capacity_plan plan_ ABSL_GUARDED_BY(mutex_);
  return_schedule returns_ ABSL_GUARDED_BY(mutex_);
  route_durations durations_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction
