#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "overload/types.h"

namespace teaseljunction {

/// What requests of each route cost at each service, as the daemons that run them have told. A
/// daemon builds the cost of the routes of its own target from that of the calls that the target
/// makes, so costs travel up the call graph one hop at a time. Not thread-safe.
class route_cost_table {
 public:
  /// Takes the cost that came with the answer to a request of `route`.
  void Learn(absl::string_view route, absl::Span<const service_cost> told);

  /// Returns the known cost of a route; empty when none was told.
  absl::Span<const service_cost> CostOf(absl::string_view route) const;

  /// Returns the cost of a route of the service `own`, whose runs make the calls `ratios`.
  route_cost Compose(const service_cost& own, absl::Span<const call_ratio> ratios) const;

 private:
  absl::flat_hash_map<std::string, route_cost> costs_;
};

}  // namespace teaseljunction
