#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"

namespace teaseljunction {

/// A target as it announced itself to the daemon beside it.
struct target_announcement {
  std::string service;
  /// Identifies the start of the target's process. A higher value is a later start.
  uint64_t incarnation = 0;
  /// Requests that the target can run at once.
  uint32_t slots = 0;
  /// True when the target wants no new work.
  bool draining = false;
  /// Load reported by the target, 0 to 1. It may be stale or wrong and is only a hint.
  double load = 0;
  /// Address of the target's HTTP server, "IP:port".
  std::string address;
  /// Name of the target's process, told with each request; empty when the target has none.
  std::string target_id;
  /// Time for which the target stays slow after its start, zero when it is warm. Unset when it does
  /// not tell.
  absl::optional<absl::Duration> warm_up;
  bool operator==(const target_announcement&) const = default;
};

/// A daemon and the target beside it, as sent to the leader.
struct daemon_announcement {
  std::string daemon_id;
  /// Identifies the start of the daemon's process. A higher value is a later start.
  uint64_t incarnation = 0;
  /// Address of the daemon's RPC server, "IP:port".
  std::string address;
  std::string data_centre;
  absl::optional<target_announcement> target;
  /// True once the daemon has begun its planned shutdown.
  bool draining = false;
  /// Version of the manifest that the daemon has in force, for the operators' view.
  uint64_t manifest_version = 0;
  /// Id of the control member in this daemon, 0 when there is none.
  uint64_t control_member_id = 0;
  bool operator==(const daemon_announcement&) const = default;
};

/// One entry of the directory of daemons.
struct directory_entry {
  daemon_announcement daemon;
  /// False when the daemon was removed.
  bool present = true;
};

/// Changes of the directory since a version that the daemon knows, or the whole directory.
struct directory_update {
  /// Identifies the leader's directory. Versions of different epochs do not compare.
  uint64_t epoch = 0;
  uint64_t version = 0;
  /// True when `entries` replaces all that the daemon knows.
  bool whole = false;
  /// False during the first lease of a leader's term, when daemons that are alive may be missing.
  /// Daemons known from the previous leader are then kept.
  bool settled = false;
  std::vector<directory_entry> entries;
};

}  // namespace teaseljunction
