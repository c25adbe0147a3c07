#pragma once

#include <vector>

#include "bench/replay.h"

namespace teaseljunction {

/// Records the results of a replay's requests and computes the metrics. `source` must outlive the
/// object.
class replay_score {
 public:
  explicit replay_score(const trace& source);

  /// Records a new request of a caller. `arrival` counts from the start of the trace.
  void RecordArrival(size_t route, size_t account, absl::Duration arrival);
  /// Records the final result of a request, after any retries by the caller.
  void RecordCompletion(size_t route, size_t account, absl::Duration arrival, bool ok,
                        int attempts);

  /// Records the failure of one entry request, which the caller may retry.
  void RecordFailure(size_t route, error_kind kind);

  /// Returns the metrics; the names of trace and policy are left empty.
  replay_report Report() const;

 private:
  struct interval_count {
    uint64_t arrived = 0;
    uint64_t succeeded = 0;
  };
  struct request_count {
    uint64_t arrived = 0;
    uint64_t succeeded = 0;
  };

  bool IsDuringDisturbance(absl::Duration arrival) const;
  bool HasSufficientCapacity(absl::Duration arrival) const;
  bool ExceedsRate(size_t account) const;
  double RecoverySeconds() const;
  double WorstAccountShare() const;
  double AchievableRequests() const;

  const trace& trace_;
  const absl::Duration disturbance_begin_;
  std::vector<interval_count> intervals_;
  std::vector<request_count> per_priority_;
  // Only requests of normal priority, since accounts compete at this priority.
  std::vector<request_count> per_account_;
  request_count during_disturbance_;
  request_count with_capacity_;
  std::map<std::pair<error_kind, request_priority>, uint64_t> failures_;
  uint64_t requests_ = 0;
  int max_attempts_ = 0;
};

}  // namespace teaseljunction
