#include "balancer/internal/balancer_state.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace teaseljunction {
namespace {

// One in this many members of a subset is reserved for targets in other data centres, so that calls
// can be sent there when the local one is overloaded.
constexpr size_t kRemoteSubsetDivisor = 4;

// Lifetime of a reported level: the minimum, and a spread that depends on daemon and target.
constexpr absl::Duration kLevelLifetime = absl::Milliseconds(750);
constexpr absl::Duration kLevelLifetimeSpread = absl::Milliseconds(500);

}  // namespace

target_state* balancer_state::FindTarget(absl::string_view id) const {
  const auto found = targets.find(id);
  return found == targets.end() ? nullptr : found->second.get();
}

service_state* balancer_state::FindService(absl::string_view name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : found->second.get();
}

void balancer_state::AddTarget(const balancer_target& announced,
                               std::unique_ptr<target_state> known, absl::Time now) {
  const bool same_incarnation = known && known->target.incarnation == announced.incarnation &&
                                known->target.service == announced.service;
  if (!known) known = std::make_unique<target_state>();
  if (!same_incarnation) {
    known->ResetForNewIncarnation(now);
    known->cold = true;
  }
  known->target = announced;
  const double spread =
      static_cast<double>(RendezvousWeight(announced.daemon_id) >> 11) * 0x1.0p-53;
  known->level_lifetime = kLevelLifetime + kLevelLifetimeSpread * spread;
  known->other_data_centre = announced.data_centre != data_centre;
  targets[announced.daemon_id] = std::move(known);
}

void balancer_state::SetTargets(absl::Span<const balancer_target> announced, absl::Time now) {
  auto previous = std::exchange(targets, {});
  for (const balancer_target& target : announced) {
    if (targets.contains(target.daemon_id)) continue;
    const auto found = previous.find(target.daemon_id);
    AddTarget(target, found == previous.end() ? nullptr : std::move(found->second), now);
  }
  SelectSubsets(now);
}

void balancer_state::SelectSubsets(absl::Time now) {
  for (auto& [name, service] : services) {
    service->total = 0;
    service->local.targets.clear();
    service->remote.targets.clear();
  }
  absl::flat_hash_map<service_state*, size_t> joined_per_service;
  for (const auto& [id, target] : targets) {
    std::unique_ptr<service_state>& service = services[target->target.service];
    if (!service) service = std::make_unique<service_state>();
    ++service->total;
    if (target->joined_at == now && target->cold) ++joined_per_service[service.get()];
    if (target->target.draining) continue;
    target_group& group = target->other_data_centre ? service->remote : service->local;
    group.targets.push_back(target.get());
  }
  absl::erase_if(services, [](const auto& item) { return item.second->total == 0; });
  // When most targets of a service are new to this daemon, either the daemon or the whole service
  // has just started. A ramp-up would then put all load on the few other targets.
  for (const auto& [id, target] : targets) {
    service_state* service = FindService(target->target.service);
    if (target->joined_at == now && joined_per_service[service] * 2 > service->total)
      target->cold = false;
  }
  for (auto& [name, service] : services) {
    SelectSubset(*service);
    service->LimitEjections(now);
  }
}

uint64_t balancer_state::RendezvousWeight(absl::string_view target_id) const {
  const uint64_t seed = XXH3_64bits(daemon_id.data(), daemon_id.size());
  return XXH3_64bits_withSeed(target_id.data(), target_id.size(), seed);
}

void balancer_state::SelectSubset(service_state& service) const {
  std::vector<target_state*>& local = service.local.targets;
  std::vector<target_state*>& remote = service.remote.targets;
  const size_t reserved_for_remote = std::min(remote.size(), subset_size / kRemoteSubsetDivisor);
  const size_t local_size = std::min(local.size(), subset_size - reserved_for_remote);
  const size_t remote_size = std::min(remote.size(), subset_size - local_size);
  const auto keep_highest = [this](std::vector<target_state*>& group, size_t size) {
    std::vector<std::pair<uint64_t, target_state*>> weighted;
    for (target_state* target : group) {
      weighted.emplace_back(RendezvousWeight(target->target.daemon_id), target);
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) {
      return std::tie(b.first, a.second->target.daemon_id) <
             std::tie(a.first, b.second->target.daemon_id);
    });
    for (size_t i = 0; i < size; ++i) group[i] = weighted[i].second;
    group.resize(size);
  };
  keep_highest(local, local_size);
  keep_highest(remote, remote_size);
}

}  // namespace teaseljunction
