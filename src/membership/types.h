#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"

namespace teaseljunction {

/// State of a target as it announced itself to the daemon on its host.
struct target_announcement {
  std::string service;
  /// Identifies one run of the target's process. Later runs have higher values.
  uint64_t incarnation = 0;
  /// Requests that the target can run at once.
  uint32_t slots = 0;
  /// True when the target accepts no new requests.
  bool draining = false;
  /// Load reported by the target, 0 to 1. Only a hint: it may be stale or wrong.
  double load = 0;
  /// Address of the target's HTTP server, "IP:port".
  std::string address;
  /// Name of the target's process, which is sent with each request; empty when the target has none.
  std::string target_id;
  /// Remaining warm-up time, during which the target is slow after its start; zero when it is warm.
  /// Unset when the target does not report it.
  absl::optional<absl::Duration> warm_up_remaining;
  bool operator==(const target_announcement&) const = default;
};

/// State of a daemon and of the target on its host, as sent to the leader.
struct daemon_announcement {
  std::string daemon_id;
  /// Identifies one run of the daemon's process. Later runs have higher values.
  uint64_t incarnation = 0;
  /// Address of the daemon's RPC server, "IP:port".
  std::string address;
  std::string data_centre;
  absl::optional<target_announcement> target;
  /// True once the daemon has started its planned shutdown.
  bool draining = false;
  /// Version of the manifest in force at the daemon. Shown to operators only.
  uint64_t manifest_version = 0;
  /// Id of the control member in this daemon; 0 when there is none.
  uint64_t control_member_id = 0;
  bool operator==(const daemon_announcement&) const = default;
};

/// An added, changed or removed daemon in a `directory_update`.
struct directory_entry {
  daemon_announcement daemon;
  /// False when the daemon was removed.
  bool present = true;
};

/// Changes of the directory since a version that the receiver has, or the whole directory.
struct directory_update {
  /// Identifies the leader's directory. Versions of different epochs cannot be compared.
  uint64_t epoch = 0;
  uint64_t version = 0;
  /// True when `entries` is the whole directory instead of the changes.
  bool full = false;
  /// False during the first lease period of a leader's term, when running daemons may not have sent
  /// a heartbeat yet. Receivers then keep the daemons known from the previous leader.
  bool settled = false;
  std::vector<directory_entry> entries;
};

}  // namespace teaseljunction
