#include "gateway/call_graph.h"

namespace teaseljunction {

void call_graph::SetOverloadControl(overload_control_mode mode) {
  absl::MutexLock lock(&mutex_);
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
  return RankOfChildCall(*parent);
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
}

route_cost call_graph::CostOf(absl::string_view route, const service_cost& own,
                              absl::Time now) const {
  absl::MutexLock lock(&mutex_);
  return costs_.Compose(own, ratios_.ChildCallRatios(route), now);
}

std::string call_graph::FindOverloadedService(const call& request, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  return std::string(admission_.FindOverloadedService(costs_.CostOf(request.route),
                                                      request.priority, request.cohort, now));
}

void call_graph::RecordEntryAdmitted(request_priority priority, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  returns_.RecordAdmitted(priority, now);
}

return_decision call_graph::RedeemReturn(absl::string_view fingerprint,
                                         absl::optional<absl::Time> deadline, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  if (mode_ != overload_control_mode::kPlanned) return {};
  return returns_.Redeem(fingerprint, deadline, now);
}

absl::optional<return_delay> call_graph::ScheduleReturn(const refused_request& request,
                                                        absl::Time now) {
  absl::MutexLock lock(&mutex_);
  if (mode_ != overload_control_mode::kPlanned) return absl::nullopt;
  return returns_.Schedule(request, now);
}

return_counts call_graph::TakeReturnCounts() {
  absl::MutexLock lock(&mutex_);
  return returns_.TakeCounts();
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
