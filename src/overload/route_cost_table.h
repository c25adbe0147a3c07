#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "overload/types.h"

namespace teaseljunction {

/// Cost of the requests of each route at each service, as reported by the daemons that run them. A
/// daemon composes the cost of the routes of its own target from the costs of the calls that the
/// target makes, so costs propagate up the call graph by one hop per report. Not thread-safe.
class route_cost_table {
 public:
  /// Updates the cost of `route` with a report that came with the response to one of its requests.
  void Update(absl::string_view route, absl::Span<const service_cost> reported, absl::Time now);

  /// Returns the known cost of a route; empty when none has been reported. The ages of the loads
  /// are those at the last update.
  absl::Span<const service_cost> CostOf(absl::string_view route) const;

  /// Returns the cost of a route whose own service costs `own` and whose executions make the child
  /// calls given by `ratios`. Loads come with their age, since they are known only from the last
  /// response of the route in question, which may be long ago.
  route_cost Compose(const service_cost& own, absl::Span<const call_ratio> ratios,
                     absl::Time now) const;

 private:
  struct known_cost {
    route_cost cost;
    absl::Time updated_at;
  };

  absl::flat_hash_map<std::string, known_cost> costs_;
};

}  // namespace teaseljunction
