#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "overload/types.h"

namespace teaseljunction {

/// Estimates how many child calls of each route one execution at the local target makes. The
/// estimates show which requests cause the calls of an overloaded service, also when it is needed
/// directly by other requests.
///
/// Child calls of a known parent route are counted. Targets need not report which execution a child
/// call belongs to; the ratios of such calls are estimated from the numbers of executions and child
/// calls per time window, with the normalised least-mean-squares method. That estimate can
/// attribute some calls to a route that makes none. Not thread-safe.
class call_ratio_estimator {
 public:
  /// Counts an execution of a route started at the local target.
  void RecordExecution(absl::string_view route, absl::Time now);

  /// Counts a child call made by the local target. `parent_route` is empty if it is not known.
  void RecordChildCall(absl::string_view child_route, absl::string_view parent_route,
                       absl::Time now);

  /// Returns the average number of child calls per execution of a route, for each child route.
  /// Empty for a route that makes no calls.
  std::vector<call_ratio> ChildCallRatios(absl::string_view route) const;

 private:
  using count_map = absl::flat_hash_map<std::string, double>;

  /// The child calls of one route.
  struct child_calls {
    // Calls in the current window whose parent route is not known, and whose parent is known.
    double unattributed = 0;
    double attributed = 0;
    // Recent calls per parent route, with a weight that falls with their age.
    count_map counted;
    // Estimated calls per execution of each route.
    count_map estimated;
    // True while the parents of the calls are known.
    bool counts_exactly = false;
  };

  void AdvanceWindow(absl::Time now);
  void EstimateRatios(child_calls& calls, double norm);

  absl::Time window_start_ = absl::InfinitePast();
  // Executions in the current window.
  count_map execution_counts_;
  // Recent executions, weighted like `child_calls::counted`.
  count_map recent_executions_;
  absl::flat_hash_map<std::string, child_calls> calls_;
};

}  // namespace teaseljunction
