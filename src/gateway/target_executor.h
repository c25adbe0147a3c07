#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"
#include "admission/admission_controller.h"
#include "common/clock_source.h"
#include "common/scheduler.h"
#include "gateway/call_context.h"
#include "gateway/call_graph.h"
#include "gateway/call_headers.h"
#include "gateway/quarantine_registry.h"
#include "http/http_client.h"
#include "membership/target_lease.h"
#include "quarantine/suspect_tracker.h"
#include "rpc/node_service.h"

namespace teaseljunction {

/// What the executor works with. All parts outlive it.
struct executor_ports {
  const clock_source& clock;
  scheduler& timers;
  call_context_table& contexts;
  http_client& client;
  quarantine_registry& quarantine;
  const call_headers& headers;
  call_graph& graph;
};

/// Counters of the executor, for operators.
struct executor_status {
  uint64_t running = 0;
  uint64_t queued = 0;
  uint64_t concurrency_limit = 0;
};

/// Runs calls at the target beside this daemon: lease of the target, admission, the call itself,
/// detection of a crash. Every call for the target passes through here. Thread-safe; the state of
/// the one target is one shard under one lock. No callback runs with the lock held.
class target_executor {
 public:
  using completion = absl::AnyInvocable<void(execute_result)>;

  /// `daemon_id` names the target in crash reports.
  /// `lease` is the time for which an announcement is valid.
  target_executor(const executor_ports& ports, std::string daemon_id,
                  admission_controller admission, absl::Duration lease = kMembershipLease);

  /// Processes the withdrawal of a target. One that has not drained before begins to drain, because
  /// it still serves for a while; calls that run go on.
  void Leave(uint64_t incarnation);

  /// Processes an announcement of the target.
  announce_result Announce(const target_announcement& announced);

  /// Takes a target that answered a probe, unless a target has announced itself. Returns false
  /// when it was not taken.
  bool Adopt(const target_announcement& found);

  /// Runs a call and its completion exactly once.
  std::shared_ptr<execution> Execute(call request, completion done);

  /// Returns the target while its lease holds.
  absl::optional<target_announcement> Target();

  /// Returns the crash reports since the last call.
  std::vector<crash_report> TakeCrashReports();

  executor_status Status();

  /// Replaces the leader's list of suspected requests, whose completion is then reported.
  void SetSuspects(absl::Span<const std::string> fingerprints);

  /// Sets the upper bound of the concurrency limit from the manifest; 0 for none.
  void SetMaxConcurrency(uint32_t max_concurrency);

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
  };
  class execution_handle;

  // A call whose connection was lost. Until it is known whether the target's process was lost too,
  // the call counts as in flight.
  struct suspected_loss {
    std::string fingerprint;
    absl::Time when;
  };

  // Work to be done after the lock is released.
  struct deferred_work {
    std::vector<uint64_t> starts;
    std::vector<std::pair<std::shared_ptr<task>, error_kind>> refusals;
  };

  void Cancel(uint64_t call_id);
  error_kind RefusalOf(const call& request, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Apply(const admission_decision& decision, deferred_work& work)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void PollAdmission(deferred_work& work) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ArmPollTimer() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RunDeferred(deferred_work work);
  void StartCall(uint64_t call_id);
  void OnResponse(uint64_t call_id, outcome<http_response> response);
  void HandleTargetLoss(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SuspectLoss(const std::string& fingerprint, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ForgetSuspectedLosses(absl::Time before, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ApplySlots(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  overload_level LevelNow() ABSL_LOCKS_EXCLUDED(mutex_);
  // Adds the load of the target, and to some answers what a request of the route costs.
  void TellLoad(const call& request, execute_result& delivered) ABSL_LOCKS_EXCLUDED(mutex_);
  void Deliver(task& finished, outcome<call_answer> answer, absl::Duration service_time);

  const executor_ports ports_;
  absl::Mutex mutex_;
  admission_controller admission_ ABSL_GUARDED_BY(mutex_);
  target_lease lease_ ABSL_GUARDED_BY(mutex_);
  suspect_tracker suspects_ ABSL_GUARDED_BY(mutex_);
  std::vector<suspected_loss> suspected_losses_ ABSL_GUARDED_BY(mutex_);
  std::vector<crash_report> crash_reports_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<uint64_t, std::shared_ptr<task>> tasks_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_call_id_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t answers_ ABSL_GUARDED_BY(mutex_) = 0;
  uint32_t max_concurrency_ ABSL_GUARDED_BY(mutex_) = 0;
  uint32_t applied_slots_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time poll_armed_for_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
};

}  // namespace teaseljunction
