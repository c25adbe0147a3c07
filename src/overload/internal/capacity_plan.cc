#include "overload/capacity_plan.h"

#include <algorithm>
#include <cmath>

#include "overload/internal/service_plan.h"

namespace teaseljunction {
namespace {

/// A route with fewer calls per request does not count as reaching the service.
constexpr double kMinCallsPerRequest = 0.05;
constexpr absl::Duration kLoadExpiry = absl::Seconds(1);
/// Requests of a route that may start before the first report of its cost. The number doubles in
/// each interval, so that a route whose cost is never reported is not held back for long. While any
/// service is saturated it grows by fewer: the cost of a route becomes known with its first
/// response, which can be late just because of the queue at the service that it reaches.
constexpr double kStartRequests = 16;
constexpr double kSaturatedStartRequests = 4;
constexpr double kMaxStartRequests = 1e6;
constexpr absl::Duration kStartInterval = absl::Milliseconds(250);
/// Least change of the cut that is logged, in priorities.
constexpr double kLoggedCutChange = 0.1;
constexpr absl::Duration kLogInterval = absl::Seconds(1);

bool Reaches(const service_cost& cost) { return cost.calls >= kMinCallsPerRequest; }

}  // namespace

struct capacity_plan::service_state {
  service_plan plan;
  double logged_cut = kPriorityCount;
  absl::Time logged_at = absl::InfinitePast();
};

capacity_plan::capacity_plan() = default;
capacity_plan::~capacity_plan() = default;
capacity_plan::capacity_plan(capacity_plan&&) noexcept = default;
capacity_plan& capacity_plan::operator=(capacity_plan&&) noexcept = default;

capacity_plan::service_state& capacity_plan::StateOf(absl::string_view service) {
  std::unique_ptr<service_state>& state = services_[service];
  if (state == nullptr) state = std::make_unique<service_state>();
  return *state;
}

void capacity_plan::RecordOffered(const planned_request& request, absl::Time now) {
  const double rank = service_plan::RankPosition(request.priority, request.cohort);
  const auto start = request.cost.empty() ? starts_.end() : starts_.find(request.route);
  for (const service_cost& cost : request.cost) {
    if (!Reaches(cost)) continue;
    service_plan& plan = StateOf(cost.service).plan;
    plan.AddOffered(rank, cost.calls, now);
    if (start == starts_.end()) continue;
    plan.AddStarted(rank, start->second.admitted * cost.calls, now - start->second.since, now);
  }
  if (start != starts_.end()) starts_.erase(start);
}

absl::optional<capacity_shortage> capacity_plan::FindShortage(const planned_request& request,
                                                              absl::Time now) {
  const double rank = service_plan::RankPosition(request.priority, request.cohort);
  absl::optional<capacity_shortage> shortage;
  for (const service_cost& cost : request.cost) {
    if (!Reaches(cost)) continue;
    service_plan& plan = StateOf(cost.service).plan;
    plan.Advance(now);
    if (plan.Admits(rank)) continue;
    const absl::Duration room = plan.RoomExpectedIn(rank);
    if (!shortage || room > shortage->room_expected_in) shortage = {cost.service, room};
  }
  if (shortage) {
    TakeBackOffered(request, rank, now);
    return shortage;
  }
  if (request.cost.empty() && !AdmitsStart(request, now)) {
    return capacity_shortage{std::string(request.service), kStartInterval};
  }
  for (const service_cost& cost : request.cost) {
    if (Reaches(cost)) StateOf(cost.service).plan.AddAdmitted(cost.calls, now);
  }
  return absl::nullopt;
}

void capacity_plan::TakeBackOffered(const planned_request& request, double rank, absl::Time now) {
  for (const service_cost& cost : request.cost) {
    if (!Reaches(cost)) continue;
    service_plan& plan = StateOf(cost.service).plan;
    if (plan.Admits(rank)) plan.AddOffered(rank, -cost.calls, now);
  }
}

bool capacity_plan::AdmitsStart(const planned_request& request, absl::Time now) {
  start_state& start =
      starts_.try_emplace(request.route, start_state{now, now, 0, kStartRequests}).first->second;
  start.since = std::min(start.since, now);
  start.raised_at = std::min(start.raised_at, now);
  while (now - start.raised_at >= kStartInterval && start.limit < kMaxStartRequests) {
    const bool saturated =
        std::any_of(services_.begin(), services_.end(),
                    [now](const auto& service) { return service.second->plan.IsSaturated(now); });
    start.limit += saturated ? kSaturatedStartRequests : start.limit;
    start.raised_at += kStartInterval;
  }
  if (start.admitted >= start.limit && start.limit < kMaxStartRequests) return false;
  ++start.admitted;
  return true;
}

void capacity_plan::RecordWithdrawn(const planned_request& request, absl::Time now) {
  const double rank = service_plan::RankPosition(request.priority, request.cohort);
  for (const service_cost& cost : request.cost) {
    if (!Reaches(cost)) continue;
    service_plan& plan = StateOf(cost.service).plan;
    plan.AddOffered(rank, -cost.calls, now);
    plan.AddAdmitted(-cost.calls, now);
  }
}

void capacity_plan::RecordEnded(absl::Span<const service_cost> cost, bool served, absl::Time now) {
  for (const service_cost& reached : cost) {
    if (Reaches(reached)) StateOf(reached.service).plan.AddEnded(reached.calls, served, now);
  }
}

void capacity_plan::RecordLoad(absl::Span<const service_cost> reported, absl::Time now) {
  for (const service_cost& cost : reported) {
    // A daemon in between keeps reporting the last load that it has seen.
    if (cost.load_age > kLoadExpiry || !std::isfinite(cost.load) || cost.load < 0) continue;
    StateOf(cost.service).plan.RecordLoad(cost.load, now);
  }
}

std::vector<plan_status> capacity_plan::Status(absl::Time now) const {
  std::vector<plan_status> statuses;
  for (const auto& [name, state] : services_) {
    statuses.push_back(state->plan.Status(now));
    statuses.back().service = name;
  }
  std::sort(statuses.begin(), statuses.end(),
            [](const auto& a, const auto& b) { return a.service < b.service; });
  return statuses;
}

std::vector<plan_status> capacity_plan::TakeCutChanges(absl::Time now) {
  std::vector<plan_status> changes;
  for (auto& [name, state] : services_) {
    state->logged_at = std::min(state->logged_at, now);
    if (now - state->logged_at < kLogInterval) continue;
    if (std::abs(state->plan.Cut() - state->logged_cut) <= kLoggedCutChange) continue;
    changes.push_back(state->plan.Status(now));
    changes.back().service = name;
    state->logged_cut = changes.back().cut;
    state->logged_at = now;
  }
  return changes;
}

}  // namespace teaseljunction
