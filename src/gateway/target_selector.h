#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "balancer/balancer.h"
#include "balancer/retry_budget.h"
#include "common/random_source.h"
#include "manifest/types.h"

namespace teaseljunction {

/// Balancers and retry budgets of all services. Each service has its own lock. Thread-safe.
class target_selector {
 public:
  target_selector(std::string daemon_id, std::string data_centre, random_source& random);

  /// Replaces the targets of all services.
  void SetTargets(absl::Span<const balancer_target> targets, absl::Time now);

  /// Sets how overload is handled, as the manifest in force says. Takes effect for later calls.
  void SetOverloadControl(overload_control_mode mode);

  /// Records the load that a target reported with a response.
  void ReportLoad(absl::string_view service, absl::string_view daemon_id, double load,
                  absl::Time now);

  /// Sets the retry budget of a service: `ratio` is the number of retries per first attempt,
  /// `reserve_per_second` the number of additional retries per second.
  void SetRetryBudget(absl::string_view service, double ratio, double reserve_per_second);

  /// Returns the target of the next attempt, or nothing when the service has no target outside
  /// `excluded`.
  absl::optional<target_choice> ChooseTarget(const call& request,
                                             absl::Span<const std::string> excluded,
                                             absl::Time now);

  /// Returns false when the targets of the service are currently refusing requests of this priority
  /// and cohort.
  bool AnyTargetAdmits(const call& request, absl::Time now);

  /// Records that an attempt was sent to a target. Each call needs one call of `OnAttemptFinished`.
  void OnAttemptStarted(absl::string_view service, absl::string_view daemon_id, absl::Time now);
  /// Records the end of an attempt. `latency` is the time since `OnAttemptStarted`; `level` is the
  /// admission level reported with the response, or the default level without a response.
  void OnAttemptFinished(absl::string_view service, absl::string_view daemon_id,
                         attempt_result result, absl::Duration latency, const overload_level& level,
                         absl::Time now);

  /// Counts the first attempt of a call, which adds to the retry budget.
  void RecordFirstAttempt(absl::string_view service, absl::Time now);

  /// Calls `decide` with the retry budget of the service while holding the lock of the service, and
  /// returns the result.
  template <class Decide>
  auto WithRetryBudget(absl::string_view service, Decide&& decide) {
    shard& service_shard = ShardOf(service);
    absl::MutexLock lock(&service_shard.mutex);
    return decide(service_shard.retries);
  }

  /// Returns the remote share and the loads of each service in the Prometheus text format. Empty
  /// with reactive overload control.
  std::string FormatPrometheus();

  /// Returns the number of targets of the service, including draining ones.
  size_t TargetCount(absl::string_view service);

 private:
  struct shard {
    absl::Mutex mutex;
    balancer targets ABSL_GUARDED_BY(mutex);
    retry_budget retries ABSL_GUARDED_BY(mutex);
    explicit shard(balancer initial_targets) : targets(std::move(initial_targets)) {}
  };

  // True for a call that targets do not refuse for their level. The level of the first cohort of
  // the most important priority is the one that comes nearest to none.
  bool IsCarried(const call& request) ABSL_LOCKS_EXCLUDED(mutex_);
  shard& ShardOf(absl::string_view service) ABSL_LOCKS_EXCLUDED(mutex_);

  const std::string daemon_id_;
  const std::string data_centre_;
  random_source& random_;
  absl::Mutex mutex_;
  overload_control_mode mode_ ABSL_GUARDED_BY(mutex_) = overload_control_mode::kReactive;
  absl::flat_hash_map<std::string, std::unique_ptr<shard>> shards_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction
