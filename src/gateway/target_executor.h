#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "admission/admission_controller.h"
#include "common/busy_source.h"
#include "common/clock_source.h"
#include "common/scheduler.h"
#include "gateway/call_context.h"
#include "gateway/call_graph.h"
#include "gateway/call_header_names.h"
#include "gateway/quarantine_registry.h"
#include "gateway/target_pace.h"
#include "http/http_client.h"
#include "manifest/types.h"
#include "membership/target_lease.h"
#include "quarantine/suspect_tracker.h"
#include "rpc/node_service.h"

namespace teaseljunction {

/// Dependencies of `target_executor`. All referenced objects must outlive it.
struct target_executor_dependencies {
  const clock_source& clock;
  scheduler& timers;
  call_context_table& contexts;
  http_client& client;
  quarantine_registry& quarantine;
  const call_header_names& headers;
  call_graph& graph;
  /// Load of the thread that handles the calls; null if it is not measured.
  const busy_source* thread = nullptr;
};

/// State of the executor as reported to operators.
struct target_executor_status {
  /// Calls that were started and have not ended.
  uint64_t running = 0;
  /// Calls that wait for a free slot.
  uint64_t queued = 0;
  /// Maximum number of calls that run at once.
  uint64_t concurrency_limit = 0;
};

/// Runs calls at the target beside this daemon: lease of the target, admission control, the call
/// itself, and crash detection. Every call to the target passes through this class. Thread-safe;
/// all state is guarded by one lock. No callback runs with the lock held.
class target_executor {
 public:
  using completion = absl::AnyInvocable<void(execute_result)>;

  /// `daemon_id` identifies the target in crash reports. `lease` is the time for which an
  /// announcement is valid. A draining target gets new calls during the first half of `drain_time`;
  /// the other half is left for them to end.
  target_executor(const target_executor_dependencies& dependencies, std::string daemon_id,
                  admission_controller admission, absl::Duration lease = kMembershipLease,
                  absl::Duration drain_time = kTargetDrainTime);

  /// Handles the withdrawal of the target with this incarnation. A target that was not draining
  /// starts to drain, because it still accepts calls for a while; otherwise its lease ends. Running
  /// calls continue.
  void HandleWithdrawal(uint64_t incarnation);

  /// Requires a health check of the first target that announces itself. `request_check` is invoked
  /// without the lock whenever an announcement waits for one. Must be called before any calls run.
  void RequireConfirmation(absl::AnyInvocable<void()> request_check);

  /// Uses announcements without a health check, because the target has no path for it. Returns
  /// whether one that had waited for it is in use now.
  bool WaiveConfirmation();

  /// Number to pass to `ConfirmTarget`, read before the health check is sent.
  uint64_t Revocations();

  /// Handles a health check that found the target `target_id`. Returns whether an announcement that
  /// had waited for it is in use now.
  bool ConfirmTarget(absl::string_view target_id, uint64_t revocations);

  /// Returns whether an announcement waits for a health check.
  bool AwaitsConfirmation();

  /// Handles an announcement of the target.
  announce_result HandleAnnouncement(const target_announcement& announced);

  /// Accepts a target that responded to a probe, unless a target has already announced itself.
  /// Returns false when the target is not accepted.
  bool AcceptProbedTarget(const target_announcement& probed);

  /// Refuses the queued calls and all further calls with kDraining. Running calls continue.
  void StopAccepting();

  /// Runs a call and invokes `done` exactly once, possibly before this function returns. The
  /// returned handle cancels the call.
  std::shared_ptr<call_execution> Execute(call request, completion done);

  /// Returns the current target, or nothing when there is none or its lease has expired.
  absl::optional<target_announcement> CurrentTarget();

  /// Returns the crash reports collected since the previous call.
  std::vector<crash_report> TakeCrashReports();

  /// Returns the current numbers of running and queued calls and the concurrency limit.
  target_executor_status Status();

  /// Returns the pace that the target last reported, and its age, in the Prometheus text format.
  /// Empty without one.
  std::string FormatPrometheus();

  /// Replaces the leader's list of suspected requests. When a suspect completes, this is reported.
  void SetSuspects(absl::Span<const std::string> fingerprints);

  /// Sets the upper bound of the concurrency limit given by the manifest; 0 for no bound.
  void SetMaxConcurrency(uint32_t max_concurrency);

  /// Sets how overload is handled, as the manifest in force says. Takes effect for later calls.
  void SetOverloadControl(overload_control_mode mode);

 private:
  struct task {
    call request;
    completion done;
    absl::Time arrived_at;
    absl::Time deadline;
    absl::Time started_at;
    std::shared_ptr<running_call> running;
    std::string token;
    uint64_t http_id = 0;
    bool started = false;
    bool cancelled = false;
    bool refused_before_send = false;
  };
  class execution_handle;

  // A call whose connection was lost. It counts as in flight until it is known whether the target's
  // process was lost as well.
  struct suspected_loss {
    std::string fingerprint;
    absl::Time lost_at;
  };

  // Actions to be carried out after the lock has been released.
  struct deferred_work {
    std::vector<uint64_t> starts;
    std::vector<std::pair<std::shared_ptr<task>, error_kind>> refusals;
  };

  void Cancel(uint64_t call_id);
  error_kind RefusalReasonFor(const call& request, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns true once a draining target may get no more calls.
  bool IsPastLastStart(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns the reason for which a call cannot be sent to `target`, the current one, or nothing.
  absl::optional<error_kind> FindSendObstacle(const call& request,
                                              const absl::optional<target_announcement>& target,
                                              absl::Time now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Decides whether a started call is still sent, now that its connection to `target` is ready.
  absl::optional<error> CheckBeforeSend(task& started, const target_announcement& target)
      ABSL_LOCKS_EXCLUDED(mutex_);
  // Moves all queued calls to the refusals, with kDraining.
  void RefuseQueued(absl::Time now, deferred_work& work) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ApplyDecision(const admission_decision& decision, deferred_work& work)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void PollAdmission(deferred_work& work) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SchedulePoll() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RunDeferred(deferred_work work);
  void StartCall(uint64_t call_id);
  void OnResponse(uint64_t call_id, outcome<http_response> response);
  void HandleTargetLoss(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void AddSuspectedLoss(const std::string& fingerprint, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ClearSuspectedLosses(absl::Time before, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ApplySlots(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  overload_level CurrentLevel() ABSL_LOCKS_EXCLUDED(mutex_);
  // Adds the load to the result, by which targets are chosen, and for a fraction of the responses
  // the cost of the route, by which entries admit. Both count the target or the thread that passes
  // calls on to it, whichever has less room.
  void AddLoadReport(const call& request, execute_result& delivered) ABSL_LOCKS_EXCLUDED(mutex_);
  double TargetLoadAt(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Records the pace that the target reported with a response.
  void RecordPace(const outcome<http_response>& response, absl::Duration service_time,
                  absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Deliver(task& finished, outcome<call_answer> answer, absl::Duration service_time);

  const target_executor_dependencies deps_;
  // Time for which a draining target still gets calls, for daemons that have not yet learned that
  // it is draining and for queued calls.
  const absl::Duration drain_grace_period_;
  absl::Mutex mutex_;
  admission_controller admission_ ABSL_GUARDED_BY(mutex_);
  target_lease lease_ ABSL_GUARDED_BY(mutex_);
  absl::AnyInvocable<void()> request_check_;
  suspect_tracker suspects_ ABSL_GUARDED_BY(mutex_);
  std::vector<suspected_loss> suspected_losses_ ABSL_GUARDED_BY(mutex_);
  std::vector<crash_report> crash_reports_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<uint64_t, std::shared_ptr<task>> tasks_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_call_id_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t response_count_ ABSL_GUARDED_BY(mutex_) = 0;
  bool accepting_ ABSL_GUARDED_BY(mutex_) = true;
  uint32_t max_concurrency_ ABSL_GUARDED_BY(mutex_) = 0;
  overload_control_mode mode_ ABSL_GUARDED_BY(mutex_) = overload_control_mode::kReactive;
  target_pace pace_ ABSL_GUARDED_BY(mutex_);
  uint32_t applied_slots_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time scheduled_poll_at_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
};

}  // namespace teaseljunction
