#include "gateway/call_graph.h"

namespace teaseljunction {

void call_graph::OnRun(absl::string_view route, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  ratios_.OnRun(route, now);
}

void call_graph::OnChildCall(absl::string_view route, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  ratios_.OnCall(route, now);
}

void call_graph::Learn(absl::string_view route, absl::Span<const service_cost> told,
                       absl::Time now) {
  if (told.empty()) return;
  absl::MutexLock lock(&mutex_);
  costs_.Learn(route, told);
  admission_.Observe(told, now);
}

route_cost call_graph::CostOf(absl::string_view route, const service_cost& own) const {
  absl::MutexLock lock(&mutex_);
  return costs_.Compose(own, ratios_.RatiosOf(route));
}

std::string call_graph::Refusing(const call& request, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  return std::string(
      admission_.Refusing(costs_.CostOf(request.route), request.priority, request.cohort, now));
}

}  // namespace teaseljunction
