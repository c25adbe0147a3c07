#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "quarantine/types.h"

namespace teaseljunction {

/// Collects crash reports at the leader and identifies the requests that crash targets. The state
/// is kept in memory only: a new leader starts without suspects. Not thread-safe.
class crash_tracker {
 public:
  /// Processes one report. Returns the fingerprint when it has to be quarantined: the request was
  /// in flight in crashes of two different targets within 10 minutes, and has not completed since.
  /// A completion clears the crashes before it. It also raises the required number of targets for
  /// 10 minutes: by one for all completions before the first crash together, and by one for each
  /// target with a later completion, up to 8 targets. This protects frequent requests that happen
  /// to be in flight while another request crashes their targets. Repeated reports have no further
  /// effect, but the fingerprint is returned again for each crash report, in case the first
  /// proposal to quarantine it was lost.
  absl::optional<std::string> Report(const crash_report& report, absl::Time now);

  /// Returns the fingerprints that were in flight in a crash and have not completed since. Daemons
  /// report completions of these requests; see `suspect_tracker::SetSuspects`.
  std::vector<std::string> Suspects(absl::Time now);

  /// Number of tracked fingerprints, at most 10,000. The least recently reported one is evicted for
  /// a new one.
  size_t Size() const { return suspects_.size(); }

 private:
  struct observation {
    std::string target;
    absl::Time time;
  };
  struct suspect {
    std::string fingerprint;
    absl::Time updated_at;
    /// Time of the first crash in the current window, even if a completion has cleared that crash.
    absl::Time first_crash = absl::InfiniteFuture();
    /// Latest crash at each target since the last completion.
    std::vector<observation> crashes;
    /// Latest completion at each target.
    std::vector<observation> completions;
  };
  using suspect_list = std::list<suspect>;

  /// Returns the number of targets whose crashes quarantine the request.
  static size_t RequiredTargets(const suspect& entry);
  void Expire(absl::Time now);
  /// Returns the entry of a fingerprint, added if needed, and marks it as the latest updated one.
  suspect& FindOrAdd(const std::string& fingerprint, absl::Time now);

  /// Least recently updated first.
  suspect_list suspects_;
  absl::flat_hash_map<std::string, suspect_list::iterator> by_fingerprint_;
};

}  // namespace teaseljunction
