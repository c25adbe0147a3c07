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
double DrawWeight(const service_state& service, const target_state& target, double load,
                  absl::Time now) {
  const double crowding = 1 + std::clamp(load, kIdleLoad, kMaxLoad);
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
    const double weight = DrawWeight(service, *target, *load, now);
    loads += weight * *load;
    weights += weight;
  }
  if (weights <= 0) return absl::nullopt;
  return loads / weights;
}

// Targets of one group that a call may be sent to, with their weights.
class weighted_candidates {
 public:
  // `group_load` is used for targets without a valid report.
  weighted_candidates(const selection_request& request, const target_group& group,
                      double group_load) {
    for (target_state* target : group.targets) {
      if (!request.Usable(*target) || request.Excluded(*target)) continue;
      const double load = CredibleLoad(request.service, *target, request.now).value_or(group_load);
      weight_sum_ += DrawWeight(request.service, *target, load, request.now);
      candidates_.push_back({target, weight_sum_});
    }
  }

  // Returns one of them, drawn by weight, or null without candidates. The less loaded one of two
  // draws led to more waiting in the simulation, since daemons agree on it until the next report.
  target_state* Pick(fast_random& random) const {
    if (candidates_.empty()) return nullptr;
    const double drawn = random.Fraction() * weight_sum_;
    const auto found =
        std::upper_bound(candidates_.begin(), candidates_.end() - 1, drawn,
                         [](double value, const candidate& entry) { return value < entry.upper; });
    return found->target;
  }

 private:
  struct candidate {
    target_state* target;
    // Sum of the weights up to this candidate.
    double upper;
  };

  absl::InlinedVector<candidate, 20> candidates_;
  double weight_sum_ = 0;
};

}  // namespace

spill_inputs SpillInputsOf(const service_state& service, absl::Time now) {
  const double local_latency = service.Expected(service.local, now);
  // Without remote targets, the latency of the group is only the mean of the service.
  const double remote_latency =
      service.remote.targets.empty() ? local_latency : service.Expected(service.remote, now);
  return {GroupLoad(service, service.local, now), GroupLoad(service, service.remote, now),
          local_latency, remote_latency};
}

target_state* PickPlannedTarget(const selection_request& request, fast_random& random) {
  const service_state& service = request.service;
  const spill_inputs& inputs = service.spill.Inputs();
  if (!inputs.local_load && !inputs.remote_load) return nullptr;
  const bool prefer_remote = random.Fraction() < service.spill.Share();
  const auto pick = [&](const target_group& group, absl::optional<double> load) {
    return weighted_candidates(request, group, load.value_or(kIdleLoad)).Pick(random);
  };
  target_state* choice = prefer_remote ? pick(service.remote, inputs.remote_load)
                                       : pick(service.local, inputs.local_load);
  if (choice != nullptr) return choice;
  return prefer_remote ? pick(service.local, inputs.local_load)
                       : pick(service.remote, inputs.remote_load);
}

}  // namespace teaseljunction
