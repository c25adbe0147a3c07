#include "overload/entry_admission.h"

#include <algorithm>
#include <cmath>

namespace teaseljunction {
namespace {

/// Load at which services are kept. It leaves room for bursts of calls.
constexpr double kTargetLoad = 0.85;
/// Time constant for averaging the loads reported by individual targets.
constexpr absl::Duration kLoadAveragingTime = absl::Milliseconds(150);
constexpr absl::Duration kStepInterval = absl::Milliseconds(50);
/// Change of the level per step and unit of load above or below the target value, and the maximum
/// change per step.
constexpr double kFallPerLoad = 0.06;
constexpr double kMaxFallPerStep = 0.06;
constexpr double kRisePerLoad = 0.06;
constexpr double kMaxRisePerStep = 0.02;
/// Some of the most important requests are always admitted, so that load reports keep arriving.
constexpr double kMinLevel = 0.25;
/// When no load that was measured within this time is known, the level rises as if the service were
/// idle.
constexpr absl::Duration kLoadExpiry = absl::Seconds(1);
/// Maximum number of steps that are applied at once after a pause.
constexpr int kMaxCatchUpSteps = 20;
/// A route with fewer calls per request does not count as reaching the service.
constexpr double kMinCallsPerRequest = 0.05;

}  // namespace

void entry_admission::RecordLoad(absl::Span<const service_cost> reported, absl::Time now) {
  for (const service_cost& cost : reported) {
    // A daemon in between keeps reporting the last load that it has seen. While requests that reach
    // the service are refused, it sees no other one, and the refusals would never end.
    if (cost.load_age > kLoadExpiry) continue;
    service_state& state = services_[cost.service];
    const double elapsed = absl::FDivDuration(now - state.updated_at, kLoadAveragingTime);
    const double weight = std::clamp(1 - std::exp(-elapsed), 0.02, 1.0);
    state.load += weight * (cost.load - state.load);
    state.updated_at = now;
    UpdateLevel(state, now);
  }
}

void entry_admission::UpdateLevel(service_state& state, absl::Time now) {
  if (state.level_updated_at == absl::InfinitePast()) state.level_updated_at = now;
  const auto due_steps = static_cast<int>(std::min<double>(
      kMaxCatchUpSteps, absl::FDivDuration(now - state.level_updated_at, kStepInterval)));
  if (due_steps < 1) return;
  state.level_updated_at = now;
  const double load = now - state.updated_at > kLoadExpiry ? 0 : state.load;
  const double excess = load - kTargetLoad;
  const double change = excess > 0 ? -std::min(kMaxFallPerStep, kFallPerLoad * excess)
                                   : std::min(kMaxRisePerStep, -kRisePerLoad * excess);
  state.level = std::clamp<double>(state.level + due_steps * change, kMinLevel, kPriorityCount);
}

absl::string_view entry_admission::FindOverloadedService(absl::Span<const service_cost> cost,
                                                         request_priority priority, uint8_t cohort,
                                                         absl::Time now) {
  const double rank = static_cast<double>(priority) + static_cast<double>(cohort) / kCohortCount;
  for (const service_cost& service_on_route : cost) {
    if (service_on_route.calls < kMinCallsPerRequest) continue;
    const auto found = services_.find(service_on_route.service);
    if (found == services_.end()) continue;
    UpdateLevel(found->second, now);
    if (rank >= found->second.level) return found->first;
  }
  return {};
}

double entry_admission::LevelOf(absl::string_view service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? kPriorityCount : found->second.level;
}

}  // namespace teaseljunction
