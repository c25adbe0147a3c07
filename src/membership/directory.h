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

/// The leader's directory of daemons, rebuilt from their heartbeats in each term.
class directory {
 public:
  /// Starts an empty directory for a new term. Epochs of later leaders are higher; 0 is not used.
  void StartTerm(uint64_t epoch, absl::Time now);

  /// Records a daemon's heartbeat. Returns false when it came from an earlier incarnation of the
  /// daemon, which is ignored. Only what matters for routing makes a new version: a different load
  /// is published when it changed by 0.25 and at most once a minute per daemon, a different
  /// manifest version only together with another change.
  bool Heartbeat(const daemon_announcement& daemon, absl::Time now);

  /// Removes the daemons that were silent for 3 s. Returns their number.
  size_t Expire(absl::Time now);

  /// Returns the changes after `version`, or the whole directory when the epoch is another one or
  /// the daemon is too far behind. `settled` is as of the last `Heartbeat` or `Expire`.
  directory_update Since(uint64_t epoch, uint64_t version) const;

  /// Returns the daemons that are present.
  std::vector<daemon_announcement> Daemons() const;

  /// Returns the latest known incarnation of a daemon, 0 when it is unknown.
  uint64_t KnownIncarnation(absl::string_view daemon_id) const;

  /// True when the term is one lease old, so that each daemon has had the time for a heartbeat.
  bool Settled(absl::Time now) const;

  uint64_t Epoch() const { return epoch_; }
  uint64_t Version() const { return version_; }

 private:
  struct member {
    /// As published; the load and the manifest version may be older than the last heartbeat.
    daemon_announcement daemon;
    absl::Time last_heartbeat;
    absl::Time published;
    bool present = true;
  };
  struct change {
    uint64_t version;
    std::string daemon_id;
  };

  void Observe(absl::Time now);
  void Publish(member& member, absl::Time now);
  void ForgetRemoved(absl::Time now);

  uint64_t epoch_ = 0;
  uint64_t version_ = 0;
  absl::Time term_start_ = absl::InfiniteFuture();
  bool settled_ = false;
  absl::flat_hash_map<std::string, member> members_;
  std::deque<change> history_;
};

}  // namespace teaseljunction
