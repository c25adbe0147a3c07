#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace teaseljunction {

/// Limits retries per service. In any window of length w, the retries are at most
/// ratio * (first attempts in the window and the 10 s before it) + 3 * (w in seconds) + 3.
class retry_budget {
 public:
  /// Sets the retries of a service as a share of its first attempts, 0 to 1, and the retries per
  /// second that it may get beside them. Defaults 0.1 and 3.
  void SetBudget(absl::string_view service, double ratio, double reserve_per_second);

  /// Counts a first attempt of a call to the service.
  void RecordAttempt(absl::string_view service, absl::Time now);

  /// Takes the allowance for one retry. Returns false when there is none.
  bool TryRetry(absl::string_view service, absl::Time now);

 private:
  static constexpr int kSlotCount = 10;

  /// Attempts and retries of one second.
  struct slot {
    int64_t second = 0;
    uint64_t attempts = 0;
    uint64_t retries = 0;
  };

  struct service_budget {
    double ratio = 0.1;
    double reserve_per_second = 3;
    std::array<slot, kSlotCount> slots;
    /// Allowance that does not depend on traffic.
    double reserve = 0;
    absl::Time reserve_updated = absl::InfinitePast();
  };

  service_budget& BudgetOf(absl::string_view service);
  static slot& SlotAt(service_budget& budget, absl::Time now);
  static bool TryShare(service_budget& budget, absl::Time now);
  static bool TryReserve(service_budget& budget, absl::Time now);

  absl::flat_hash_map<std::string, service_budget> budgets_;
};

}  // namespace teaseljunction
