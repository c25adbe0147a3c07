#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "overload/types.h"

namespace teaseljunction {

/// Estimates how many child calls of each route one execution at the local target makes. Targets do
/// not report which execution a child call belongs to, so the ratios are estimated from the numbers
/// of executions and child calls per time window, with the normalised least-mean-squares method.
/// The estimates show which requests cause the calls of an overloaded service, also when it is
/// needed directly by other requests. Not thread-safe.
class call_ratio_estimator {
 public:
  /// Counts an execution of a route started at the local target.
  void RecordExecution(absl::string_view route, absl::Time now);

  /// Counts a child call made by the local target.
  void RecordChildCall(absl::string_view child_route, absl::Time now);

  /// Returns the average number of child calls per execution of a route, for each child route.
  /// Empty for a route that makes no calls.
  std::vector<call_ratio> ChildCallRatios(absl::string_view route) const;

 private:
  using count_map = absl::flat_hash_map<std::string, double>;

  void AdvanceWindow(absl::Time now);
  void UpdateRatios();

  absl::Time window_start_ = absl::InfinitePast();
  count_map execution_counts_;
  count_map call_counts_;
  // Calls of a child route (outer key) per execution of a route (inner key).
  absl::flat_hash_map<std::string, count_map> ratios_;
};

}  // namespace teaseljunction
