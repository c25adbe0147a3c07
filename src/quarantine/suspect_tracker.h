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

/// Tracks the requests in flight on the target of this daemon's host, and reports those that were
/// in flight when its process crashed. Also remembers which requests completed within the last 5 to
/// 10 minutes, because a request that completes is not the one that crashes targets. Not
/// thread-safe.
class suspect_tracker {
 public:
  /// `daemon_id` identifies the target in the reports.
  explicit suspect_tracker(std::string daemon_id);

  /// Records that a request with this fingerprint was sent to the target.
  void OnStarted(absl::string_view fingerprint, absl::Time now);

  /// Records the end of a request. `completed` is true when the target sent a complete response.
  /// For requests that were in flight when the target was lost, the call with `completed` false may
  /// follow later or not at all.
  void OnFinished(absl::string_view fingerprint, bool completed, absl::Time now);

  /// Records that the target's process was lost. Returns a crash report for each fingerprint in
  /// flight, in the order in which the leader has to process them. The crash report is preceded by
  /// a completion report if the same request recently completed here.
  std::vector<crash_report> OnTargetLost(absl::Time now);

  /// Replaces the suspects by the leader's list. A recent completion of a suspect that was not
  /// reported yet is returned by the next `TakeCompletionReports`.
  void SetSuspects(absl::Span<const std::string> fingerprints, absl::Time now);

  /// Returns a report of the last completion of each suspect that completed since the previous
  /// call. The caller resends these reports, like those of `OnTargetLost`, until a sync has
  /// succeeded.
  std::vector<crash_report> TakeCompletionReports(absl::Time now);

 private:
  struct in_flight_count {
    uint32_t running = 0;
    /// Requests that were in flight when the target was lost and whose end has not been recorded
    /// yet.
    uint32_t lost = 0;
  };

  using completion_times = absl::flat_hash_map<std::string, absl::Time>;

  void Rotate(absl::Time now);
  absl::optional<absl::Time> LastCompletion(absl::string_view fingerprint) const;

  std::string daemon_id_;
  absl::flat_hash_map<std::string, in_flight_count> in_flight_;
  /// Suspects, and the last reported completion of each.
  completion_times suspects_;
  /// Completions of suspects that `TakeCompletionReports` has not returned yet.
  completion_times unreported_;
  /// Last completions, in two generations. The older generation is dropped when the newer one is 5
  /// minutes old or full.
  completion_times recent_;
  completion_times older_;
  absl::Time rotated_at_ = absl::InfinitePast();
};

}  // namespace teaseljunction
