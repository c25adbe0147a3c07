#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "common/types.h"
#include "overload/types.h"

namespace teaseljunction {

class service_plan;

/// A new request at the entry, as `capacity_plan` sees it.
struct planned_request {
  absl::string_view route;
  /// Service of the route.
  absl::string_view service;
  /// Known cost of the route; empty before the first report.
  absl::Span<const service_cost> cost;
  request_priority priority = request_priority::kNormal;
  uint8_t cohort = 0;
};

/// Decides at the entry daemon which new requests start, so that the most important ones fill the
/// capacity of every service that they reach directly or through other services.
///
/// For each service it knows the offered flow by rank, the admitted flow, and the load that the
/// targets report. The admitted flow divided by the load that it caused is this daemon's share of
/// the capacity. The cut is the rank up to which the offered flow fits into the share at the target
/// load, less the part that drains a standing queue. Requests whose rank is before the cuts of all
/// services that they reach are admitted. The cut is evaluated every 50 ms. Each daemon decides
/// alone. Not thread-safe. Does not read the clock; times may step back.
class capacity_plan {
 public:
  capacity_plan();
  ~capacity_plan();
  capacity_plan(capacity_plan&&) noexcept;
  capacity_plan& operator=(capacity_plan&&) noexcept;

  /// Counts a new request. Call once per request, before `FindShortage`.
  void RecordOffered(const planned_request& request, absl::Time now);

  /// Returns the service that lacks capacity for the request for the longest time, or nothing. In
  /// the latter case the request counts as admitted.
  absl::optional<capacity_shortage> FindShortage(const planned_request& request, absl::Time now);

  /// Takes back an admitted request that was refused for another reason.
  void RecordWithdrawn(const planned_request& request, absl::Time now);

  /// Records the end of an admitted request. `served` is false if it failed.
  void RecordEnded(absl::Span<const service_cost> cost, bool served, absl::Time now);

  /// Records the loads of services reported with a response.
  void RecordLoad(absl::Span<const service_cost> reported, absl::Time now);

  /// Returns the state of all services, ordered by name.
  std::vector<plan_status> Status(absl::Time now) const;

  /// Returns the state of the services whose cut has moved by more than a tenth of a priority since
  /// it was returned last, each at most once per second.
  std::vector<plan_status> TakeCutChanges(absl::Time now);

 private:
  struct service_state;
  /// Requests of a route that were admitted before the first report of its cost.
  struct start_state {
    absl::Time since;
    absl::Time raised_at;
    double admitted = 0;
    double limit = 0;
  };

  service_state& StateOf(absl::string_view service);
  // Takes back a refused request at the services that have room for it. Its calls will not reach
  // them, so they must not refuse others in its place.
  void TakeBackOffered(const planned_request& request, double rank, absl::Time now);
  bool AdmitsStart(const planned_request& request, absl::Time now);

  absl::flat_hash_map<std::string, std::unique_ptr<service_state>> services_;
  absl::flat_hash_map<std::string, start_state> starts_;
};

}  // namespace teaseljunction
