#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "overload/types.h"

namespace teaseljunction {

/// Learns how many calls of each route one run at the local target makes. A target does not say on
/// behalf of which run it calls, so the ratios are estimated from the numbers of runs and calls in
/// windows of time, by the normalised least-mean-squares method. Answers the load in which one kind
/// of request causes most calls of a service that other requests need directly. Not thread-safe.
class call_ratio_learner {
 public:
  /// Counts a run of a route that began at the local target.
  void OnRun(absl::string_view route, absl::Time now);

  /// Counts a call of the local target.
  void OnCall(absl::string_view child_route, absl::Time now);

  /// Returns the calls that one run of a route makes; routes without calls have none.
  std::vector<call_ratio> RatiosOf(absl::string_view route) const;

 private:
  using counts = absl::flat_hash_map<std::string, double>;

  void Advance(absl::Time now);
  void Learn();

  absl::Time window_start_ = absl::InfinitePast();
  counts runs_;
  counts calls_;
  // Calls of a child route (outer key) per run of a route (inner key).
  absl::flat_hash_map<std::string, counts> ratios_;
};

}  // namespace teaseljunction
