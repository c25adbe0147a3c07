#include "gateway/target_selector.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace teaseljunction {
namespace {

struct spill_gauge {
  absl::string_view name;
  absl::optional<double> (*value)(const spill_status&);
};

constexpr spill_gauge kSpillGauges[] = {
    {"teaseljunction_remote_share",
     [](const spill_status& status) -> absl::optional<double> { return status.remote_share; }},
    {"teaseljunction_local_load", [](const spill_status& status) { return status.local_load; }},
    {"teaseljunction_remote_load", [](const spill_status& status) { return status.remote_load; }},
};

}  // namespace

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
                                        .SetPlanned(mode_ == overload_control_mode::kPlanned)
                                        .Build());
  }
  return *found;
}

void target_selector::SetTargets(absl::Span<const balancer_target> targets, absl::Time now) {
  absl::flat_hash_map<std::string, std::vector<balancer_target>> targets_by_service;
  {
    absl::MutexLock lock(&mutex_);
    for (const auto& [service, unused] : shards_) targets_by_service[service];
  }
  for (const balancer_target& target : targets) {
    targets_by_service[target.service].push_back(target);
  }
  for (const auto& [service, service_targets] : targets_by_service) {
    shard& service_shard = ShardOf(service);
    absl::MutexLock lock(&service_shard.mutex);
    service_shard.targets.SetTargets(service_targets, now);
  }
}

void target_selector::SetOverloadControl(overload_control_mode mode) {
  absl::MutexLock lock(&mutex_);
  mode_ = mode;
  for (const auto& [service, service_shard] : shards_) {
    absl::MutexLock shard_lock(&service_shard->mutex);
    service_shard->targets.SetPlanned(mode == overload_control_mode::kPlanned);
  }
}

void target_selector::SetRetryBudget(absl::string_view service, double ratio,
                                     double reserve_per_second) {
  shard& service_shard = ShardOf(service);
  absl::MutexLock lock(&service_shard.mutex);
  service_shard.retries.SetBudget(service, ratio, reserve_per_second);
}

absl::optional<target_choice> target_selector::ChooseTarget(const call& request,
                                                            absl::Span<const std::string> excluded,
                                                            absl::Time now) {
  const bool carried = IsCarried(request);
  shard& service_shard = ShardOf(request.service);
  absl::MutexLock lock(&service_shard.mutex);
  return service_shard.targets.ChooseTarget(
      request.service, carried ? request_priority::kCritical : request.priority,
      carried ? uint8_t{0} : request.cohort, excluded, now, request.target_latency);
}

bool target_selector::IsCarried(const call& request) {
  absl::MutexLock lock(&mutex_);
  return mode_ == overload_control_mode::kPlanned && request.depth > 0;
}

bool target_selector::AnyTargetAdmits(const call& request, absl::Time now) {
  if (IsCarried(request)) return true;
  shard& service_shard = ShardOf(request.service);
  absl::MutexLock lock(&service_shard.mutex);
  return service_shard.targets.AnyTargetAdmits(request.service, request.priority, request.cohort,
                                               now);
}

void target_selector::OnAttemptStarted(absl::string_view service, absl::string_view daemon_id,
                                       absl::Time now) {
  shard& service_shard = ShardOf(service);
  absl::MutexLock lock(&service_shard.mutex);
  service_shard.targets.OnAttemptStarted(daemon_id, now);
}

void target_selector::OnAttemptFinished(absl::string_view service, absl::string_view daemon_id,
                                        attempt_result result, absl::Duration latency,
                                        const overload_level& level, absl::Time now) {
  shard& service_shard = ShardOf(service);
  absl::MutexLock lock(&service_shard.mutex);
  service_shard.targets.OnAttemptFinished(daemon_id, result, latency, level, now);
}

void target_selector::ReportLoad(absl::string_view service, absl::string_view daemon_id,
                                 double load, absl::Time now) {
  shard& service_shard = ShardOf(service);
  absl::MutexLock lock(&service_shard.mutex);
  service_shard.targets.ReportLoad(daemon_id, load, now);
}

void target_selector::RecordFirstAttempt(absl::string_view service, absl::Time now) {
  shard& service_shard = ShardOf(service);
  absl::MutexLock lock(&service_shard.mutex);
  service_shard.retries.RecordFirstAttempt(service, now);
}

std::string target_selector::FormatPrometheus() {
  std::vector<std::pair<std::string, spill_status>> statuses;
  {
    absl::MutexLock lock(&mutex_);
    if (mode_ != overload_control_mode::kPlanned) return "";
    for (const auto& [service, service_shard] : shards_) {
      absl::MutexLock shard_lock(&service_shard->mutex);
      const auto status = service_shard->targets.SpillStatus(service);
      if (status) statuses.emplace_back(service, *status);
    }
  }
  std::string report;
  for (const spill_gauge& gauge : kSpillGauges) {
    absl::StrAppend(&report, "# TYPE ", gauge.name, " gauge\n");
    for (const auto& [service, status] : statuses) {
      const absl::optional<double> value = gauge.value(status);
      if (!value) continue;
      absl::StrAppend(&report, gauge.name, "{service=\"", service, "\"} ", *value, "\n");
    }
  }
  return report;
}

size_t target_selector::TargetCount(absl::string_view service) {
  shard& service_shard = ShardOf(service);
  absl::MutexLock lock(&service_shard.mutex);
  return service_shard.targets.TargetCount(service);
}

}  // namespace teaseljunction
