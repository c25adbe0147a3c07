#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace teaseljunction {

/// Limits the retries to each service. With the default reserve, the retries in any window of w
/// seconds are at most ratio * (first attempts in the window and the 10 s before it) + 3 * w + 3.
/// Not thread-safe.
class retry_budget {
 public:
  /// Sets the retries that a service may get: a ratio of its first attempts, clamped to 0 to 1, and
  /// in addition a number of retries per second. Defaults 0.1 and 3.
  void SetBudget(absl::string_view service, double ratio, double reserve_per_second);

  /// Counts a first attempt of a call to the service.
  void RecordFirstAttempt(absl::string_view service, absl::Time now);

  /// Takes one retry from the budget. Returns false when none is left.
  bool TryTakeRetry(absl::string_view service, absl::Time now);

 private:
  static constexpr int kBucketCount = 10;

  /// First attempts, and retries taken from the ratio, in one second.
  struct second_bucket {
    int64_t second = 0;
    uint64_t attempts = 0;
    uint64_t retries = 0;
  };

  struct service_budget {
    double ratio = 0.1;
    double reserve_per_second = 3;
    std::array<second_bucket, kBucketCount> buckets;
    /// Retries that may be made independently of the traffic.
    double reserve = 0;
    absl::Time reserve_updated = absl::InfinitePast();
  };

  service_budget& BudgetOf(absl::string_view service);
  static second_bucket& BucketAt(service_budget& budget, absl::Time now);
  static bool TryTakeFromRatio(service_budget& budget, absl::Time now);
  static bool TryTakeFromReserve(service_budget& budget, absl::Time now);

  absl::flat_hash_map<std::string, service_budget> budgets_;
};

}  // namespace teaseljunction
