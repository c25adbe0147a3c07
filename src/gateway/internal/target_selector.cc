#include "gateway/target_selector.h"

#include <utility>

namespace teaseljunction {

target_selector::target_selector(std::string daemon_id, std::string data_centre,
                                 random_source& random)
    : daemon_id_(std::move(daemon_id)), data_centre_(std::move(data_centre)), random_(random) {}

target_selector::shard& target_selector::ShardOf(absl::string_view service) {
  absl::MutexLock lock(&mutex_);
  std::unique_ptr<shard>& found = shards_[service];
  if (found == nullptr) {
    found = std::make_unique<shard>(balancer_builder()
                                        .SetDaemonId(daemon_id_)
                                        .SetDataCentre(data_centre_)
                                        .SetRandomSource(&random_)
                                        .Build());
  }
  return *found;
}

void target_selector::SetTargets(absl::Span<const balancer_target> targets, absl::Time now) {
  absl::flat_hash_map<std::string, std::vector<balancer_target>> per_service;
  {
    absl::MutexLock lock(&mutex_);
    for (const auto& [service, unused] : shards_) per_service[service];
  }
  for (const balancer_target& target : targets) per_service[target.service].push_back(target);
  for (const auto& [service, list] : per_service) {
    shard& owner = ShardOf(service);
    absl::MutexLock lock(&owner.mutex);
    owner.targets.SetTargets(list, now);
  }
}

void target_selector::SetRetryBudget(absl::string_view service, double ratio, double reserve) {
  shard& owner = ShardOf(service);
  absl::MutexLock lock(&owner.mutex);
  owner.retries.SetBudget(service, ratio, reserve);
}

absl::optional<target_choice> target_selector::Choose(const call& request,
                                                      absl::Span<const std::string> excluded,
                                                      absl::Time now) {
  shard& owner = ShardOf(request.service);
  absl::MutexLock lock(&owner.mutex);
  return owner.targets.Choose(request.service, request.priority, request.cohort, excluded, now,
                              request.target_latency);
}

bool target_selector::Admits(const call& request, absl::Time now) {
  shard& owner = ShardOf(request.service);
  absl::MutexLock lock(&owner.mutex);
  return owner.targets.Admits(request.service, request.priority, request.cohort, now);
}

void target_selector::Started(absl::string_view service, absl::string_view daemon_id,
                              absl::Time now) {
  shard& owner = ShardOf(service);
  absl::MutexLock lock(&owner.mutex);
  owner.targets.Started(daemon_id, now);
}

void target_selector::Finished(absl::string_view service, absl::string_view daemon_id,
                               attempt_result result, absl::Duration latency,
                               const overload_level& level, absl::Time now) {
  shard& owner = ShardOf(service);
  absl::MutexLock lock(&owner.mutex);
  owner.targets.Finished(daemon_id, result, latency, level, now);
}

void target_selector::ReportLoad(absl::string_view service, absl::string_view daemon_id,
                                 double load, absl::Time now) {
  shard& owner = ShardOf(service);
  absl::MutexLock lock(&owner.mutex);
  owner.targets.ReportLoad(daemon_id, load, now);
}

void target_selector::RecordAttempt(absl::string_view service, absl::Time now) {
  shard& owner = ShardOf(service);
  absl::MutexLock lock(&owner.mutex);
  owner.retries.RecordAttempt(service, now);
}

size_t target_selector::TargetCount(absl::string_view service) {
  shard& owner = ShardOf(service);
  absl::MutexLock lock(&owner.mutex);
  return owner.targets.TargetCount(service);
}

}  // namespace teaseljunction
