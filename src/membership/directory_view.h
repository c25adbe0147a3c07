#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "membership/types.h"

namespace teaseljunction {

/// A daemon's copy of the leader's directory. Not thread-safe.
class directory_view {
 public:
  /// Applies an update. Updates of an earlier epoch or version are ignored, so lost, duplicate and
  /// reordered updates are harmless. An entry of an earlier incarnation never replaces a later one.
  /// Daemons known from the previous leader are kept until the new leader's directory is settled.
  /// Returns true when the entries changed.
  bool Apply(const directory_update& update);

  /// Epoch and version to request changes from the leader with; 0 before the first update.
  uint64_t Epoch() const { return epoch_; }
  uint64_t Version() const { return version_; }

  /// Returns all daemons, sorted by id.
  std::vector<daemon_announcement> Entries() const;

  size_t Size() const { return entries_.size(); }

 private:
  struct known_daemon {
    daemon_announcement daemon;
    /// Epoch of the last update that contained the daemon.
    uint64_t epoch = 0;
  };

  bool ApplyEntry(const directory_entry& entry);
  bool RemoveUnlisted(const directory_update& update);
  /// Removes the daemons that are known only from previous leaders.
  bool RemoveUnconfirmed();
  void PruneIncarnations();

  uint64_t epoch_ = 0;
  uint64_t version_ = 0;
  absl::flat_hash_map<std::string, known_daemon> entries_;
  /// Highest incarnation seen of each daemon, including removed ones.
  absl::flat_hash_map<std::string, uint64_t> incarnations_;
};

}  // namespace teaseljunction
