#include "balancer/internal/planned_choice.h"

#include <algorithm>

#include "absl/container/inlined_vector.h"

namespace teaseljunction {
namespace {

// Loads below this count as equal. A false report of an idle target then attracts few calls.
constexpr double kIdleLoad = 0.5;
// Loads above this count as equal. A false report of a crowded target then does not starve it.
constexpr double kMaxLoad = 3;

// A target that is this many times slower than the mean counts as fully loaded, whatever load it
// reports. Usual speeds differ by up to 3.
constexpr double kFullLoadLatencyRatio = 4;

// Returns the load of the target as far as its latency does not contradict it, or nothing without a
// valid report.
absl::optional<double> CredibleLoad(const service_state& service, const target_state& target,
                                    absl::Time now) {
  const auto load = target.EstimatedLoad(now);
  if (!load) return absl::nullopt;
  const double slowness = service.Expected(target, now) / service.Baseline();
  return std::max(*load, slowness / kFullLoadLatencyRatio);
}

// Returns the relative probability with which the target is drawn. Drawing, in place of choosing
// the best target, keeps daemons that have the same reports from all choosing the same one.
double DrawWeight(const service_state& service, const target_state& target, absl::Time now) {
  const double load =
      std::clamp(CredibleLoad(service, target, now).value_or(kIdleLoad), kIdleLoad, kMaxLoad);
  const double crowding = 1 + load;
  const double slots = std::max<double>(target.target.slots, 1);
  return slots * target.RampFactor(now) /
         (service.Expected(target, now) * crowding * crowding * crowding *
          (1 + target.penalty.At(now)));
}

// Returns the mean of the valid load reports that a call drawn from the group would find.
absl::optional<double> GroupLoad(const service_state& service, const target_group& group,
                                 absl::Time now) {
  double loads = 0;
  double weights = 0;
  for (const target_state* target : group.targets) {
    const auto load = CredibleLoad(service, *target, now);
    if (target->Ejected(now) || !load) continue;
    const double weight = DrawWeight(service, *target, now);
    loads += weight * *load;
    weights += weight;
  }
  if (weights <= 0) return absl::nullopt;
  return loads / weights;
}

target_state* Draw(const selection_request& request, const target_group& group,
                   fast_random& random) {
  absl::InlinedVector<std::pair<double, target_state*>, 32> candidates;
  double sum = 0;
  for (target_state* target : group.targets) {
    if (!request.Usable(*target) || request.Excluded(*target)) continue;
    sum += DrawWeight(request.service, *target, request.now);
    candidates.emplace_back(sum, target);
  }
  const double drawn = random.Fraction() * sum;
  for (const auto& [upper, target] : candidates) {
    if (drawn < upper) return target;
  }
  return candidates.empty() ? nullptr : candidates.back().second;
}

}  // namespace

spill_inputs SpillInputsOf(const service_state& service, absl::Time now) {
  return {GroupLoad(service, service.local, now), GroupLoad(service, service.remote, now),
          service.Expected(service.local, now), service.Expected(service.remote, now)};
}

target_state* PickPlannedTarget(const selection_request& request, fast_random& random) {
  const service_state& service = request.service;
  const spill_inputs& inputs = service.spill.Inputs();
  if (!inputs.local_load && !inputs.remote_load) return nullptr;
  const bool prefer_remote = random.Fraction() < service.spill.Share();
  const target_group& preferred = prefer_remote ? service.remote : service.local;
  target_state* choice = Draw(request, preferred, random);
  if (choice != nullptr) return choice;
  return Draw(request, prefer_remote ? service.local : service.remote, random);
}

}  // namespace teaseljunction
