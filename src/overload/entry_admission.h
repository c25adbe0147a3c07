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

/// Decides at the entry whether a new request may start, from the load of all services that it will
/// reach, also through the calls of others. Answers the load in which requests are let in whose
/// later calls are refused, so that their work is wasted: above a service's capacity the least
/// important requests that reach it are refused before any work is done.
///
/// For each service there is a level on the scale of ranks. A rank is the priority of a request,
/// the most important first, and within it the cohort. The level falls while the service is loaded
/// above the target and rises slowly while it is below. A request is admitted when its rank is
/// below the levels of all services that it reaches. Not thread-safe.
class entry_admission {
 public:
  /// Takes the load of services as told with an answer.
  void Observe(absl::Span<const service_cost> told, absl::Time now);

  /// Returns the service that has no room for a request with this cost, or nothing when it is
  /// admitted.
  absl::string_view Refusing(absl::Span<const service_cost> cost, request_priority priority,
                             uint8_t cohort, absl::Time now);

  /// Returns the level of a service, from 0 to `kPriorityCount`.
  double LevelOf(absl::string_view service) const;

 private:
  struct service_state {
    double pressure = 0;
    absl::Time observed = absl::InfinitePast();
    double level = kPriorityCount;
    absl::Time stepped = absl::InfinitePast();
  };

  static void Step(service_state& state, absl::Time now);

  absl::flat_hash_map<std::string, service_state> services_;
};

}  // namespace teaseljunction
