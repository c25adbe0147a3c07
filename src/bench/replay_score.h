#pragma once

#include <vector>

#include "bench/replay.h"

namespace teaseljunction {

/// Collects the ends of a replay's requests and works out the measures.
class replay_score {
 public:
  explicit replay_score(const trace& source);

  void RecordArrival(size_t route, size_t account, absl::Duration arrival);
  /// Records the final end of a request, after the caller's own repeats.
  void RecordEnd(size_t route, size_t account, absl::Duration arrival, bool ok, int attempts);

  /// Records that one entry request failed; the caller may send it again.
  void RecordFailure(size_t route, error_kind kind);

  replay_report Report() const;

 private:
  struct slot {
    uint64_t arrived = 0;
    uint64_t succeeded = 0;
  };
  struct tally {
    uint64_t arrived = 0;
    uint64_t succeeded = 0;
  };

  bool Disturbed(absl::Duration arrival) const;
  bool CapacityExists(absl::Duration arrival) const;
  bool OverItsRate(size_t account) const;
  double RecoverySeconds() const;
  double WorstAccountShare() const;
  double AllowedRequests() const;

  const trace& trace_;
  const absl::Duration begin_;
  std::vector<slot> slots_;
  std::vector<tally> per_priority_;
  // Requests of normal priority, in which accounts compete.
  std::vector<tally> per_account_;
  tally disturbed_;
  tally undisturbed_;
  std::map<std::pair<error_kind, request_priority>, uint64_t> failures_;
  uint64_t requests_ = 0;
  int max_attempts_ = 0;
};

}  // namespace teaseljunction
