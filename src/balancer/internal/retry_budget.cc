#include "balancer/retry_budget.h"

#include <algorithm>

namespace teaseljunction {
namespace {

// Time for which an unused reserve is kept.
constexpr double kReserveSeconds = 1;

}  // namespace

retry_budget::service_budget& retry_budget::BudgetOf(absl::string_view service) {
  return budgets_[service];
}

retry_budget::slot& retry_budget::SlotAt(service_budget& budget, absl::Time now) {
  const int64_t second = absl::ToUnixSeconds(now);
  const int64_t index = (second % kSlotCount + kSlotCount) % kSlotCount;
  slot& current = budget.slots[static_cast<size_t>(index)];
  if (current.second != second) current = {second, 0, 0};
  return current;
}

void retry_budget::SetBudget(absl::string_view service, double ratio, double reserve_per_second) {
  service_budget& budget = BudgetOf(service);
  budget.ratio = std::clamp(ratio, 0.0, 1.0);
  budget.reserve_per_second = std::max(reserve_per_second, 0.0);
}

void retry_budget::RecordAttempt(absl::string_view service, absl::Time now) {
  ++SlotAt(BudgetOf(service), now).attempts;
}

bool retry_budget::TryShare(service_budget& budget, absl::Time now) {
  slot& current = SlotAt(budget, now);
  uint64_t attempts = 0;
  uint64_t retries = 0;
  for (const slot& candidate : budget.slots) {
    if (candidate.second <= current.second - kSlotCount) continue;
    attempts += candidate.attempts;
    retries += candidate.retries;
  }
  if (static_cast<double>(retries + 1) > budget.ratio * static_cast<double>(attempts)) return false;
  ++current.retries;
  return true;
}

bool retry_budget::TryReserve(service_budget& budget, absl::Time now) {
  const double elapsed = std::max(0.0, absl::ToDoubleSeconds(now - budget.reserve_updated));
  const double limit = budget.reserve_per_second * kReserveSeconds;
  budget.reserve = std::min(limit, budget.reserve + elapsed * budget.reserve_per_second);
  budget.reserve_updated = std::max(budget.reserve_updated, now);
  if (budget.reserve < 1) return false;
  budget.reserve -= 1;
  return true;
}

bool retry_budget::TryRetry(absl::string_view service, absl::Time now) {
  service_budget& budget = BudgetOf(service);
  return TryShare(budget, now) || TryReserve(budget, now);
}

}  // namespace teaseljunction
