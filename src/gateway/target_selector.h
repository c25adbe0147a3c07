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

namespace teaseljunction {

/// Balancers and retry budgets of all services, one shard and lock per service. Thread-safe.
class target_selector {
 public:
  target_selector(std::string daemon_id, std::string data_centre, random_source& random);

  /// Replaces the targets of all services.
  void SetTargets(absl::Span<const balancer_target> targets, absl::Time now);

  /// Records the load that a target told with an answer.
  void ReportLoad(absl::string_view service, absl::string_view daemon_id, double load,
                  absl::Time now);

  /// Sets the retries to a service as a share of its first attempts, and their number per second
  /// beside it.
  void SetRetryBudget(absl::string_view service, double ratio, double reserve);

  /// Returns the target of the next attempt, or nothing when the service has none left.
  absl::optional<target_choice> Choose(const call& request, absl::Span<const std::string> excluded,
                                       absl::Time now);

  /// Returns false when the targets of the service currently refuse this request.
  bool Admits(const call& request, absl::Time now);

  void Started(absl::string_view service, absl::string_view daemon_id, absl::Time now);
  void Finished(absl::string_view service, absl::string_view daemon_id, attempt_result result,
                absl::Duration latency, const overload_level& level, absl::Time now);

  /// Counts a first attempt for the retry budget.
  void RecordAttempt(absl::string_view service, absl::Time now);

  /// Runs `decide` with the retry budget of the service, under its lock.
  template <class Decide>
  auto WithRetryBudget(absl::string_view service, Decide&& decide) {
    shard& owner = ShardOf(service);
    absl::MutexLock lock(&owner.mutex);
    return decide(owner.retries);
  }

  size_t TargetCount(absl::string_view service);

 private:
  struct shard {
    absl::Mutex mutex;
    balancer targets ABSL_GUARDED_BY(mutex);
    retry_budget retries ABSL_GUARDED_BY(mutex);
    explicit shard(balancer built) : targets(std::move(built)) {}
  };

  shard& ShardOf(absl::string_view service) ABSL_LOCKS_EXCLUDED(mutex_);

  const std::string daemon_id_;
  const std::string data_centre_;
  random_source& random_;
  absl::Mutex mutex_;
  absl::flat_hash_map<std::string, std::unique_ptr<shard>> shards_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction
