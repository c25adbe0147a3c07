#pragma once

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "common/types.h"
#include "overload/types.h"

namespace teaseljunction {

///
/// Decides at the entry daemon whether a new request may start, from the load of all services that
/// it reaches directly or through other services. Without this decision, requests would be admitted
/// whose later calls are refused, which wastes the work done so far. When a service is above its
/// capacity, the least important requests that reach it are refused before any work is done.
///
/// Each service has an admission level on the scale of ranks. The rank of a request is its
/// priority, refined by its cohort; lower ranks are more important. The level falls while the load
/// of the service is above the target value and rises slowly while it is below. A request is
/// admitted when its rank is below the levels of all services that it reaches. Not thread-safe.
class entry_admission {
 public:
  /// Records the loads of services reported with a response.
  void RecordLoad(absl::Span<const service_cost> reported, absl::Time now);

  /// Returns the name of a service that has no capacity for a request with this cost, or an empty
  /// view when the request is admitted. The view is valid until the next call of a non-const
  /// function.
  absl::string_view FindOverloadedService(absl::Span<const service_cost> cost,
                                          request_priority priority, uint8_t cohort,
                                          absl::Time now);

  /// Returns the admission level of a service, from 0 to `kPriorityCount`; `kPriorityCount` when
  /// its load is unknown.
  double LevelOf(absl::string_view service) const;

 private:
  struct service_state {
    double load = 0;
    absl::Time updated_at = absl::InfinitePast();
    double level = kPriorityCount;
    absl::Time level_updated_at = absl::InfinitePast();
  };

  static void UpdateLevel(service_state& state, absl::Time now);

  absl::flat_hash_map<std::string, service_state> services_;
};

}  // namespace teaseljunction
