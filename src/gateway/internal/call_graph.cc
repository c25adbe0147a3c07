#include "gateway/call_graph.h"

#include <vector>

#include "absl/strings/str_cat.h"
#include "common/log.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kReactiveRoomTime = absl::Milliseconds(500);

void LogCut(const plan_status& plan) {
  LOG(INFO) << "routing: the cut of service " << plan.service << " is at priority " << plan.cut
            << ": load " << plan.load << " of " << absl::ToInt64Milliseconds(plan.load_age)
            << " ms ago, share " << plan.share << ", offered " << plan.offered << ", admitted "
            << plan.admitted << " calls/s.";
}

}  // namespace

void call_graph::SetOverloadControl(overload_control_mode mode) {
  absl::MutexLock lock(&mutex_);
  // What was learned while the plan was not in use is incomplete.
  if (mode != mode_ && mode == overload_control_mode::kPlanned) plan_ = capacity_plan();
  mode_ = mode;
}

void call_graph::RecordExecutionStart(const call& request, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  executions_.Add(request.request_id, request.route,
                  {request.priority, request.cohort, request.depth});
  ratios_.RecordExecution(request.route, now);
}

absl::optional<call_rank> call_graph::RankOfChild(absl::string_view request_id) const {
  absl::MutexLock lock(&mutex_);
  const absl::optional<call_rank> parent = executions_.RankOfParent(request_id);
  if (!parent) return absl::nullopt;
  return mode_ == overload_control_mode::kPlanned ? PlannedRankOfChildCall(*parent)
                                                  : RankOfChildCall(*parent);
}

void call_graph::RecordExecutionEnd(absl::string_view request_id) {
  absl::MutexLock lock(&mutex_);
  executions_.Remove(request_id);
}

void call_graph::RecordChildCall(absl::string_view request_id, absl::string_view route,
                                 absl::Time now) {
  absl::MutexLock lock(&mutex_);
  ratios_.RecordChildCall(route, executions_.RouteOfParent(request_id), now);
}

void call_graph::RecordCosts(absl::string_view route, absl::Span<const service_cost> reported,
                             absl::Time now) {
  if (reported.empty()) return;
  absl::MutexLock lock(&mutex_);
  costs_.Update(route, reported, now);
  admission_.RecordLoad(reported, now);
  if (mode_ == overload_control_mode::kPlanned) plan_.RecordLoad(reported, now);
}

route_cost call_graph::CostOf(absl::string_view route, const service_cost& own,
                              absl::Time now) const {
  absl::MutexLock lock(&mutex_);
  return costs_.Compose(own, ratios_.ChildCallRatios(route), now);
}

planned_request call_graph::PlannedRequestOf(const call& request) const {
  return {request.route, request.service, costs_.CostOf(request.route), request.priority,
          request.cohort};
}

absl::optional<capacity_shortage> call_graph::FindOverloadedService(const call& request,
                                                                    absl::Time now) {
  absl::optional<capacity_shortage> shortage;
  std::vector<plan_status> changes;
  {
    absl::MutexLock lock(&mutex_);
    const planned_request planned = PlannedRequestOf(request);
    if (mode_ == overload_control_mode::kReactive) {
      const absl::string_view service =
          admission_.FindOverloadedService(planned.cost, request.priority, request.cohort, now);
      if (service.empty()) return absl::nullopt;
      return capacity_shortage{std::string(service), kReactiveRoomTime};
    }
    plan_.RecordOffered(planned, now);
    shortage = plan_.FindShortage(planned, now);
    changes = plan_.TakeCutChanges(now);
  }
  for (const plan_status& change : changes) LogCut(change);
  return shortage;
}

void call_graph::RecordWithdrawn(const call& request, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  if (mode_ == overload_control_mode::kReactive) return;
  plan_.RecordWithdrawn(PlannedRequestOf(request), now);
}

void call_graph::RecordEnded(const call& request, bool served, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  if (mode_ == overload_control_mode::kReactive) return;
  plan_.RecordEnded(costs_.CostOf(request.route), served, now);
}

std::string call_graph::FormatPrometheus(absl::Time now) const {
  struct gauge {
    absl::string_view name;
    double (*value)(const plan_status&);
  };
  static constexpr gauge gauges[] = {
      {"teaseljunction_plan_load", [](const plan_status& plan) { return plan.load; }},
      {"teaseljunction_plan_load_age_seconds",
       [](const plan_status& plan) { return absl::ToDoubleSeconds(plan.load_age); }},
      {"teaseljunction_plan_share", [](const plan_status& plan) { return plan.share; }},
      {"teaseljunction_plan_offered", [](const plan_status& plan) { return plan.offered; }},
      {"teaseljunction_plan_admitted", [](const plan_status& plan) { return plan.admitted; }},
      {"teaseljunction_plan_cut", [](const plan_status& plan) { return plan.cut; }},
  };
  std::vector<plan_status> services;
  {
    absl::MutexLock lock(&mutex_);
    if (mode_ == overload_control_mode::kPlanned) services = plan_.Status(now);
  }
  std::string report;
  if (services.empty()) return report;
  for (const gauge& exported : gauges) {
    absl::StrAppend(&report, "# TYPE ", exported.name, " gauge\n");
    for (const plan_status& plan : services) {
      absl::StrAppend(&report, exported.name, "{service=\"", plan.service, "\"} ",
                      exported.value(plan), "\n");
    }
  }
  return report;
}

void call_graph::RecordEntryStart(absl::string_view route, absl::Time started_at) {
  absl::MutexLock lock(&mutex_);
  durations_.RecordStart(route, started_at);
}

void call_graph::RecordEntryEnd(absl::string_view route, absl::Time started_at, bool counts,
                                absl::Time now) {
  absl::MutexLock lock(&mutex_);
  durations_.RecordEnd(route, started_at, counts, now);
}

absl::Duration call_graph::ExpectedDuration(absl::string_view route, absl::Time now) const {
  absl::MutexLock lock(&mutex_);
  return durations_.Expected(route, now);
}

}  // namespace teaseljunction
