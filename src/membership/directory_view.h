#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "membership/types.h"

namespace teaseljunction {

/// A daemon's copy of the directory.
class directory_view {
 public:
  /// Applies an update. Updates of an earlier epoch or version are ignored, so lost, repeated and
  /// reordered updates do no harm. An entry of an earlier incarnation never replaces a later one.
  /// While the directory of a new leader is not settled, daemons known from the previous one stay.
  /// Returns true when the entries changed.
  bool Apply(const directory_update& update);

  /// Epoch and version to ask the leader with; 0 before the first update.
  uint64_t Epoch() const { return epoch_; }
  uint64_t Version() const { return version_; }

  /// Returns all daemons, in the order of their ids.
  std::vector<daemon_announcement> Entries() const;

  size_t Size() const { return entries_.size(); }

 private:
  struct known_daemon {
    daemon_announcement daemon;
    /// Epoch of the last update that contained the daemon.
    uint64_t epoch = 0;
  };

  bool ApplyEntry(const directory_entry& entry);
  bool RemoveUnmentioned(const directory_update& update);
  bool RemoveUnconfirmed();
  void ForgetRemoved();

  uint64_t epoch_ = 0;
  uint64_t version_ = 0;
  absl::flat_hash_map<std::string, known_daemon> entries_;
  /// Highest incarnation seen per daemon, also of removed ones.
  absl::flat_hash_map<std::string, uint64_t> incarnations_;
};

}  // namespace teaseljunction
