#include "overload/entry_admission.h"

#include <algorithm>
#include <cmath>

namespace teaseljunction {
namespace {

/// Load at which a service is kept: some room is left for calls that come together.
constexpr double kTargetPressure = 0.85;
/// Time over which loads told by single targets are averaged.
constexpr absl::Duration kAveraging = absl::Milliseconds(150);
constexpr absl::Duration kStepInterval = absl::Milliseconds(50);
/// Change of the level per step for each unit of load above and below the target, and its bounds.
constexpr double kFall = 0.06;
constexpr double kLargestFall = 0.06;
constexpr double kRise = 0.06;
constexpr double kLargestRise = 0.02;
/// Some of the most important requests are always let in, so that the load stays known.
constexpr double kLowestLevel = 0.25;
/// Without news for this long the level rises as if the service had room.
constexpr absl::Duration kForgetAfter = absl::Seconds(1);
/// Steps that are made up for after a pause.
constexpr int kMostSteps = 20;
/// Calls per request below which a route does not reach a service.
constexpr double kLeastCalls = 0.05;

}  // namespace

void entry_admission::Observe(absl::Span<const service_cost> told, absl::Time now) {
  for (const service_cost& cost : told) {
    service_state& state = services_[cost.service];
    const double elapsed = absl::FDivDuration(now - state.observed, kAveraging);
    const double weight = std::clamp(1 - std::exp(-elapsed), 0.02, 1.0);
    state.pressure += weight * (cost.pressure - state.pressure);
    state.observed = now;
    Step(state, now);
  }
}

void entry_admission::Step(service_state& state, absl::Time now) {
  if (state.stepped == absl::InfinitePast()) state.stepped = now;
  const auto due = static_cast<int>(
      std::min<double>(kMostSteps, absl::FDivDuration(now - state.stepped, kStepInterval)));
  if (due < 1) return;
  state.stepped = now;
  const double pressure = now - state.observed > kForgetAfter ? 0 : state.pressure;
  const double excess = pressure - kTargetPressure;
  const double change = excess > 0 ? -std::min(kLargestFall, kFall * excess)
                                   : std::min(kLargestRise, -kRise * excess);
  state.level = std::clamp<double>(state.level + due * change, kLowestLevel, kPriorityCount);
}

absl::string_view entry_admission::Refusing(absl::Span<const service_cost> cost,
                                            request_priority priority, uint8_t cohort,
                                            absl::Time now) {
  const double rank = static_cast<double>(priority) + static_cast<double>(cohort) / kCohortCount;
  for (const service_cost& reached : cost) {
    if (reached.calls < kLeastCalls) continue;
    const auto found = services_.find(reached.service);
    if (found == services_.end()) continue;
    Step(found->second, now);
    if (rank >= found->second.level) return found->first;
  }
  return {};
}

double entry_admission::LevelOf(absl::string_view service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? kPriorityCount : found->second.level;
}

}  // namespace teaseljunction
