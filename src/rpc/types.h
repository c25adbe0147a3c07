#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "common/result.h"
#include "common/types.h"
#include "control/types.h"
#include "membership/types.h"
#include "overload/types.h"
#include "quarantine/types.h"
#include "shares/types.h"

namespace teaseljunction {

/// Response of the daemon of a target to `execute`.
struct execute_result {
  outcome<call_answer> answer = error{};
  /// Admission threshold of the target. The caller applies it before it sends the next call.
  overload_level level;
  /// Attempts of the call's attempt budget that were not used.
  uint32_t unused_attempts = 0;
  /// Time spent in the daemon of the target and in the target, for the latency estimate of the
  /// entry daemon.
  absl::Duration service_time;
  /// True when the answer is a server error caused by the target itself.
  bool target_failed = false;
  /// Cost of a request of the route at each service; empty when not reported.
  route_cost costs;
  /// Running and waiting calls at the target relative to the number that it can run at once.
  double load = 0;
};

/// Periodic message from a daemon to the leader.
struct sync_request {
  daemon_announcement daemon;
  /// The manifest that the daemon has.
  uint64_t manifest_version = 0;
  std::string manifest_digest;
  /// The state of the directory that the daemon has.
  uint64_t directory_epoch = 0;
  uint64_t directory_version = 0;
  /// Number of quarantined fingerprints that the daemon knows. The list is append-only.
  uint64_t quarantine_size = 0;
  std::vector<token_demand> demands;
  std::vector<crash_report> crashes;
  /// True if the daemon reads compressed manifests.
  bool accepts_compressed = false;
};

/// Response of the leader to `sync`.
struct sync_response {
  /// False when the responding daemon is not the leader or its lease has expired. Then only
  /// `leader_address` is set, which may be empty.
  bool from_leader = false;
  std::string leader_address;
  /// The current manifest when the daemon has an outdated one, otherwise version 0.
  manifest_record manifest;
  /// If set, it is sent in place of the content of `manifest`, in the format of `Compress`. A
  /// received response has the content itself, or none if it cannot be decompressed.
  std::shared_ptr<const std::string> compressed_manifest;
  directory_update directory;
  std::vector<token_grant> grants;
  /// Quarantined fingerprints beyond the first `quarantine_size` given in the request.
  std::vector<std::string> quarantined_fingerprints;
  /// Fingerprints of requests that were in flight when a target crashed. Daemons report when such a
  /// request completes.
  std::vector<std::string> suspect_fingerprints;
  /// Addresses of all control members; empty while a change of the group is not committed.
  std::vector<std::string> control_addresses;
  /// Latest known incarnation of the daemon when it is higher than that of the request, otherwise
  /// 0.
  uint64_t newer_incarnation = 0;
};

/// Response to `propose`.
struct propose_response {
  /// True when the responding daemon is the leader. Otherwise `leader_address` is the address of
  /// the leader, if known.
  bool from_leader = false;
  std::string leader_address;
  /// The result of the command, or the reason why its outcome is unknown.
  command_result result;
};

/// One control member as known to the responding daemon.
struct control_member_info {
  uint64_t member_id = 0;
  std::string address;
  std::string data_centre;
  bool voter = false;
};

/// State of a daemon, for operators.
struct status_report {
  daemon_announcement daemon;
  uint64_t manifest_version = 0;
  std::string manifest_digest;
  /// True while the configuration of the daemon is confirmed as current.
  bool configuration_fresh = false;
  uint64_t calls_running = 0;
  uint64_t calls_queued = 0;
  uint64_t concurrency_limit = 0;
  /// The daemons of the directory known to this daemon.
  std::vector<daemon_announcement> directory;
  /// True on control members. The fields below are only set there.
  bool is_control_member = false;
  member_role role = member_role::kFollower;
  uint64_t term = 0;
  uint64_t commit_index = 0;
  std::string leader_address;
  std::vector<control_member_info> control_members;
};

}  // namespace teaseljunction
