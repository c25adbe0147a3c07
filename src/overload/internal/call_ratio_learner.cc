#include "overload/call_ratio_learner.h"

#include <algorithm>

namespace teaseljunction {
namespace {

constexpr absl::Duration kWindow = absl::Milliseconds(500);
/// Part of the error of a window that is corrected.
constexpr double kStep = 0.4;
/// Runs in a window below which it says little.
constexpr double kRegularisation = 4;
/// Calls per run below which a route counts as making none.
constexpr double kLeastRatio = 0.02;

}  // namespace

void call_ratio_learner::OnRun(absl::string_view route, absl::Time now) {
  Advance(now);
  runs_[route] += 1;
}

void call_ratio_learner::OnCall(absl::string_view child_route, absl::Time now) {
  Advance(now);
  calls_[child_route] += 1;
}

void call_ratio_learner::Advance(absl::Time now) {
  if (now - window_start_ < kWindow) return;
  if (window_start_ != absl::InfinitePast()) Learn();
  window_start_ = now;
}

void call_ratio_learner::Learn() {
  double norm = kRegularisation;
  for (const auto& [route, count] : runs_) norm += count * count;
  for (const auto& [child, unused] : calls_) ratios_.try_emplace(child);
  for (auto& [child, per_route] : ratios_) {
    const auto counted = calls_.find(child);
    double error = counted == calls_.end() ? 0 : counted->second;
    for (const auto& [route, count] : runs_) error -= per_route[route] * count;
    for (const auto& [route, count] : runs_) {
      double& ratio = per_route[route];
      ratio = std::max(0.0, ratio + kStep * error * count / norm);
    }
  }
  runs_.clear();
  calls_.clear();
}

std::vector<call_ratio> call_ratio_learner::RatiosOf(absl::string_view route) const {
  std::vector<call_ratio> found;
  for (const auto& [child, per_route] : ratios_) {
    const auto ratio = per_route.find(route);
    if (ratio == per_route.end() || ratio->second < kLeastRatio) continue;
    found.push_back({child, ratio->second});
  }
  return found;
}

}  // namespace teaseljunction
