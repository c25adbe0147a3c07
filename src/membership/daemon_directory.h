#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "membership/types.h"

namespace teaseljunction {

/// The leader's directory of daemons, rebuilt from their heartbeats in each term. Not thread-safe.
class daemon_directory {
 public:
  /// Starts an empty directory for a new term. Later leaders have higher epochs; 0 is not used.
  void StartTerm(uint64_t epoch, absl::Time now);

  /// Records a daemon's heartbeat. Ignores it and returns false when it came from an earlier
  /// incarnation of the daemon. Only changes that matter for routing create a new version: a load
  /// is published when it changed by at least 0.25, and at most once a minute per daemon; a
  /// manifest version only together with another change.
  bool Heartbeat(const daemon_announcement& daemon, absl::Time now);

  /// Removes the daemons that sent no heartbeat for 3 s. Returns their number.
  size_t Expire(absl::Time now);

  /// Returns the changes after `version`, or the whole directory when `epoch` differs or the
  /// changes are no longer kept. The update's `settled` is as of the last `Heartbeat` or `Expire`.
  directory_update ChangesSince(uint64_t epoch, uint64_t version) const;

  /// Returns the daemons that have not been removed, in no particular order.
  std::vector<daemon_announcement> Daemons() const;

  /// Returns the latest known incarnation of a daemon; 0 when the daemon is unknown.
  uint64_t KnownIncarnation(absl::string_view daemon_id) const;

  /// True once the term is one lease period old, so that each daemon had time to send a heartbeat.
  bool Settled(absl::Time now) const;

  uint64_t Epoch() const { return epoch_; }
  uint64_t Version() const { return version_; }

 private:
  struct directory_member {
    /// As published. Load, warm-up time and manifest version may be older than the last heartbeat.
    daemon_announcement daemon;
    absl::Time last_heartbeat;
    absl::Time published_at;
    bool present = true;
  };
  struct change {
    uint64_t version;
    std::string daemon_id;
  };

  void UpdateSettled(absl::Time now);
  /// Assigns a new version to the daemon's current state.
  void Publish(directory_member& member, absl::Time now);
  void PruneRemoved(absl::Time now);

  uint64_t epoch_ = 0;
  uint64_t version_ = 0;
  absl::Time term_start_ = absl::InfiniteFuture();
  bool settled_ = false;
  absl::flat_hash_map<std::string, directory_member> members_;
  std::deque<change> history_;
};

}  // namespace teaseljunction
