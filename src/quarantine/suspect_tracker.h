#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
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

  /// Replaces the leader's list of suspects. Those that completed here recently are reported.
  void SetSuspects(absl::Span<const std::string> fingerprints, absl::Time now);

  /// Returns the completions of suspects that have not been returned before. They are sent with
  /// the next sync.
  std::vector<crash_report> TakeCompleted();

 private:
  struct flight {
    uint32_t running = 0;
    /// Requests that were lost with the target and whose end has not been recorded yet.
    uint32_t lost = 0;
  };

  void RecordCompletion(absl::string_view fingerprint, absl::Time now);
  void Rotate(absl::Time now);
  bool CompletedRecently(absl::string_view fingerprint) const;
  void ReportCompleted(absl::string_view fingerprint);

  std::string daemon_id_;
  absl::flat_hash_map<std::string, flight> flights_;
  absl::flat_hash_set<std::string> suspects_;
  /// Fingerprints in `completed_reports_`.
  absl::flat_hash_set<std::string> reported_;
  std::vector<crash_report> completed_reports_;
  /// Completed requests in two generations; the older one is dropped after 5 minutes or when the
  /// newer one is full.
  absl::flat_hash_set<std::string> recent_;
  absl::flat_hash_set<std::string> older_;
  absl::Time rotated_ = absl::InfinitePast();
};

}  // namespace teaseljunction
