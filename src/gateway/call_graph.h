#pragma once

#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "common/types.h"
#include "overload/call_ratio_learner.h"
#include "overload/entry_admission.h"
#include "overload/route_cost_table.h"

namespace teaseljunction {

/// What this daemon has learned of the call graph and of the load of its services. Thread-safe.
class call_graph {
 public:
  /// Counts a run of a route that began at the local target.
  void OnRun(absl::string_view route, absl::Time now);

  /// Counts a call that the local target made.
  void OnChildCall(absl::string_view route, absl::Time now);

  /// Takes the cost that came with the answer to a call of `route`.
  void Learn(absl::string_view route, absl::Span<const service_cost> told, absl::Time now);

  /// Returns the cost of a route of the local target, whose service has the load `own`.
  route_cost CostOf(absl::string_view route, const service_cost& own) const;

  /// Returns the service that has no room for a new request, or nothing.
  std::string Refusing(const call& request, absl::Time now);

 private:
  mutable absl::Mutex mutex_;
  call_ratio_learner ratios_ ABSL_GUARDED_BY(mutex_);
  route_cost_table costs_ ABSL_GUARDED_BY(mutex_);
  entry_admission admission_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction
