#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "quarantine/types.h"

namespace teaseljunction {

/// Follows the requests in flight on the target beside this daemon and reports those that were in
/// flight when its process was lost. It also remembers which requests completed within the last 5
/// to 10 minutes, since a request that completes is not the one that crashes targets.
class suspect_tracker {
 public:
  /// `daemon_id` names the target in the reports.
  explicit suspect_tracker(std::string daemon_id);

  /// Records that a request with this fingerprint was sent to the target.
  void Started(absl::string_view fingerprint, absl::Time now);

  /// Records the end of a request. `completed` is true when the target sent a whole answer.
  /// Requests that were lost with the target may be reported with `completed` false.
  void Finished(absl::string_view fingerprint, bool completed, absl::Time now);

  /// Records that the target's process was lost. Returns one report for each request in flight,
  /// in the order in which the leader has to process them. A request that completed here before is
  /// reported as completed first.
  std::vector<crash_report> TargetLost(absl::Time now);

  /// Replaces the list of suspects by the leader's one. The last completion of each, if it was
  /// recent, is reported.
  void SetSuspects(absl::Span<const std::string> fingerprints, absl::Time now);

  /// Returns the last completion of each suspect that completed since the previous call. The owner
  /// sends them, like the reports of `TargetLost`, until a sync has succeeded.
  std::vector<crash_report> TakeCompleted(absl::Time now);

 private:
  struct flight {
    uint32_t running = 0;
    /// Requests that were lost with the target and whose end has not been recorded yet.
    uint32_t lost = 0;
  };

  using completion_times = absl::flat_hash_map<std::string, absl::Time>;

  void Rotate(absl::Time now);
  absl::optional<absl::Time> LastCompletion(absl::string_view fingerprint) const;

  std::string daemon_id_;
  absl::flat_hash_map<std::string, flight> flights_;
  /// Suspects and the last completion that was reported for each.
  completion_times suspects_;
  /// Completions of suspects that have not been returned yet.
  completion_times pending_;
  /// Last completions in two generations. The older one is dropped after 5 minutes, or when the
  /// newer one is full.
  completion_times recent_;
  completion_times older_;
  absl::Time rotated_ = absl::InfinitePast();
};

}  // namespace teaseljunction
