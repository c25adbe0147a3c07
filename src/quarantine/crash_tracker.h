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

/// Collects crash reports at the leader and finds the requests that crash targets. Memory only:
/// a new leader starts without suspects.
class crash_tracker {
 public:
  /// Processes one report. Returns the fingerprint when it has to be quarantined: it was in flight
  /// in crashes of two different targets within 10 minutes, and has not completed since. A
  /// completion clears the crashes before it. It also raises the number of targets that are needed
  /// for 10 minutes: by one for all completions before the first crash together, and by one for
  /// each target with a later completion, up to 8. So a frequent request is not quarantined for
  /// being in flight while another one crashes its targets. Repeated reports have no further
  /// effect, but the fingerprint is returned again for each crash report, in case the first
  /// proposal was lost.
  absl::optional<std::string> Report(const crash_report& report, absl::Time now);

  /// Returns the fingerprints that were in flight in a crash and have not completed since. Daemons
  /// report the completion of these; see `suspect_tracker::SetSuspects`.
  std::vector<std::string> Suspects(absl::Time now);

  /// Number of fingerprints in the table, at most 10,000. The oldest is dropped for a new one.
  size_t Size() const { return suspects_.size(); }

 private:
  struct sighting {
    std::string target;
    absl::Time time;
  };
  struct suspect {
    std::string fingerprint;
    absl::Time updated;
    /// First crash of the current window, also when it has been cleared.
    absl::Time first_crash = absl::InfiniteFuture();
    /// Crashes since the last completion, one per target.
    std::vector<sighting> crashes;
    /// Completions, one per target.
    std::vector<sighting> completions;
  };
  using suspect_list = std::list<suspect>;

  static size_t TargetsNeeded(const suspect& entry);
  void Expire(absl::Time now);
  suspect& Touch(const std::string& fingerprint, absl::Time now);

  /// Least recently updated first.
  suspect_list suspects_;
  absl::flat_hash_map<std::string, suspect_list::iterator> by_fingerprint_;
};

}  // namespace teaseljunction
