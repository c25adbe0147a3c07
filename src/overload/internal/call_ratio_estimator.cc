#include "overload/call_ratio_estimator.h"

#include <algorithm>

namespace teaseljunction {
namespace {

constexpr absl::Duration kWindowLength = absl::Milliseconds(500);
/// Factor by which the weight of a counted call falls with each window.
constexpr double kCountDecay = 0.9;
/// Fraction of the estimation error of a window that is corrected.
constexpr double kLearningRate = 0.4;
/// Windows with few executions change the estimates little; this term in the norm damps them.
constexpr double kRegularisation = 4;
/// Ratios below this number of calls per execution are treated as zero.
constexpr double kMinRatio = 0.02;
/// Executions with a smaller weight are too long ago to say anything.
constexpr double kMinRecentExecutions = 0.5;

double ValueOr0(const absl::flat_hash_map<std::string, double>& values, absl::string_view key) {
  const auto found = values.find(key);
  return found == values.end() ? 0 : found->second;
}

}  // namespace

void call_ratio_estimator::RecordExecution(absl::string_view route, absl::Time now) {
  AdvanceWindow(now);
  execution_counts_[route] += 1;
  recent_executions_[route] += 1;
}

void call_ratio_estimator::RecordChildCall(absl::string_view child_route,
                                           absl::string_view parent_route, absl::Time now) {
  AdvanceWindow(now);
  child_calls& calls = calls_[child_route];
  if (parent_route.empty()) {
    calls.unattributed += 1;
    return;
  }
  calls.attributed += 1;
  calls.counted[parent_route] += 1;
}

void call_ratio_estimator::AdvanceWindow(absl::Time now) {
  if (now - window_start_ < kWindowLength) return;
  if (window_start_ != absl::InfinitePast()) {
    double norm = kRegularisation;
    for (const auto& [route, count] : execution_counts_) norm += count * count;
    for (auto& [route, count] : recent_executions_) count *= kCountDecay;
    for (auto& [child, calls] : calls_) {
      if (calls.attributed + calls.unattributed > 0) {
        calls.counts_exactly = calls.attributed >= calls.unattributed;
      }
      EstimateRatios(calls, norm);
      for (auto& [route, count] : calls.counted) count *= kCountDecay;
      calls.attributed = 0;
      calls.unattributed = 0;
    }
    execution_counts_.clear();
  }
  window_start_ = now;
}

void call_ratio_estimator::EstimateRatios(child_calls& calls, double norm) {
  double error = calls.unattributed;
  for (const auto& [route, count] : execution_counts_) error -= calls.estimated[route] * count;
  for (const auto& [route, count] : execution_counts_) {
    double& ratio = calls.estimated[route];
    ratio = std::max(0.0, ratio + kLearningRate * error * count / norm);
  }
}

std::vector<call_ratio> call_ratio_estimator::ChildCallRatios(absl::string_view route) const {
  std::vector<call_ratio> ratios;
  const double executions = ValueOr0(recent_executions_, route);
  for (const auto& [child, calls] : calls_) {
    double ratio = ValueOr0(calls.estimated, route);
    if (calls.counts_exactly) {
      if (executions < kMinRecentExecutions) continue;
      ratio = ValueOr0(calls.counted, route) / executions;
    }
    if (ratio >= kMinRatio) ratios.push_back({child, ratio});
  }
  return ratios;
}

}  // namespace teaseljunction
