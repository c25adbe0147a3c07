#include "balancer/retry_budget.h"

#include <algorithm>

namespace teaseljunction {
namespace {

// The reserve holds at most what accrues in this time.
constexpr double kReserveCapacitySeconds = 1;

}  // namespace

retry_budget::service_budget& retry_budget::BudgetOf(absl::string_view service) {
  return budgets_[service];
}

retry_budget::second_bucket& retry_budget::BucketAt(service_budget& budget, absl::Time now) {
  const int64_t second = absl::ToUnixSeconds(now);
  const int64_t index = (second % kBucketCount + kBucketCount) % kBucketCount;
  second_bucket& current = budget.buckets[static_cast<size_t>(index)];
  if (current.second != second) current = {second, 0, 0};
  return current;
}

void retry_budget::SetBudget(absl::string_view service, double ratio, double reserve_per_second) {
  service_budget& budget = BudgetOf(service);
  budget.ratio = std::clamp(ratio, 0.0, 1.0);
  budget.reserve_per_second = std::max(reserve_per_second, 0.0);
}

void retry_budget::RecordFirstAttempt(absl::string_view service, absl::Time now) {
  ++BucketAt(BudgetOf(service), now).attempts;
}

bool retry_budget::TryTakeFromRatio(service_budget& budget, absl::Time now) {
  second_bucket& current = BucketAt(budget, now);
  uint64_t attempts = 0;
  uint64_t retries = 0;
  for (const second_bucket& bucket : budget.buckets) {
    if (bucket.second <= current.second - kBucketCount) continue;
    attempts += bucket.attempts;
    retries += bucket.retries;
  }
  if (static_cast<double>(retries + 1) > budget.ratio * static_cast<double>(attempts)) return false;
  ++current.retries;
  return true;
}

bool retry_budget::TryTakeFromReserve(service_budget& budget, absl::Time now) {
  const double elapsed = std::max(0.0, absl::ToDoubleSeconds(now - budget.reserve_updated));
  const double limit = budget.reserve_per_second * kReserveCapacitySeconds;
  budget.reserve = std::min(limit, budget.reserve + elapsed * budget.reserve_per_second);
  budget.reserve_updated = std::max(budget.reserve_updated, now);
  if (budget.reserve < 1) return false;
  budget.reserve -= 1;
  return true;
}

bool retry_budget::TryTakeRetry(absl::string_view service, absl::Time now) {
  service_budget& budget = BudgetOf(service);
  return TryTakeFromRatio(budget, now) || TryTakeFromReserve(budget, now);
}

}  // namespace teaseljunction
