#include "overload/call_ratio_estimator.h"

#include <algorithm>

namespace teaseljunction {
namespace {

constexpr absl::Duration kWindowLength = absl::Milliseconds(500);
/// Fraction of the estimation error of a window that is corrected.
constexpr double kLearningRate = 0.4;
/// Windows with few executions change the estimates little; this term in the norm damps them.
constexpr double kRegularisation = 4;
/// Ratios below this number of calls per execution are treated as zero.
constexpr double kMinRatio = 0.02;

}  // namespace

void call_ratio_estimator::RecordExecution(absl::string_view route, absl::Time now) {
  AdvanceWindow(now);
  execution_counts_[route] += 1;
}

void call_ratio_estimator::RecordChildCall(absl::string_view child_route, absl::Time now) {
  AdvanceWindow(now);
  call_counts_[child_route] += 1;
}

void call_ratio_estimator::AdvanceWindow(absl::Time now) {
  if (now - window_start_ < kWindowLength) return;
  if (window_start_ != absl::InfinitePast()) UpdateRatios();
  window_start_ = now;
}

void call_ratio_estimator::UpdateRatios() {
  double norm = kRegularisation;
  for (const auto& [route, count] : execution_counts_) norm += count * count;
  for (const auto& [child, unused] : call_counts_) ratios_.try_emplace(child);
  for (auto& [child, per_route] : ratios_) {
    const auto counted = call_counts_.find(child);
    double error = counted == call_counts_.end() ? 0 : counted->second;
    for (const auto& [route, count] : execution_counts_) error -= per_route[route] * count;
    for (const auto& [route, count] : execution_counts_) {
      double& ratio = per_route[route];
      ratio = std::max(0.0, ratio + kLearningRate * error * count / norm);
    }
  }
  execution_counts_.clear();
  call_counts_.clear();
}

std::vector<call_ratio> call_ratio_estimator::ChildCallRatios(absl::string_view route) const {
  std::vector<call_ratio> ratios;
  for (const auto& [child, per_route] : ratios_) {
    const auto ratio = per_route.find(route);
    if (ratio == per_route.end() || ratio->second < kMinRatio) continue;
    ratios.push_back({child, ratio->second});
  }
  return ratios;
}

}  // namespace teaseljunction
