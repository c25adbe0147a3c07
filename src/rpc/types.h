#pragma once

#include <cstdint>
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

/// Response of a target's daemon to `execute`.
struct execute_result {
  outcome<call_answer> answer = error{};
  /// Admission threshold of the target, to be applied before the next call is sent.
  overload_level level;
  /// Attempts of the call's budget that were not used.
  uint32_t unused_attempts = 0;
  /// Detail for the entry daemon's latency estimate: time spent in the target's daemon and target.
  absl::Duration service_time;
  /// True when the answer is a server error that is the target's own fault.
  bool target_failed = false;
  /// What a request of the route costs at each service; empty when it is not told.
  route_cost costs;
  /// Calls that run or wait at the target in relation to what it can run.
  double load = 0;
};

/// A daemon's periodic message to the leader.
struct sync_request {
  daemon_announcement daemon;
  uint64_t manifest_version = 0;
  std::string manifest_digest;
  uint64_t directory_epoch = 0;
  uint64_t directory_version = 0;
  /// Number of quarantined fingerprints that the daemon knows; the list only grows.
  uint64_t quarantine_size = 0;
  std::vector<token_demand> demands;
  std::vector<crash_report> crashes;
};

/// The leader's answer to `sync`.
struct sync_response {
  /// False when the answering daemon is not the leader or its lease has expired. Then only
  /// `leader_address` is set, and it may be empty.
  bool from_leader = false;
  std::string leader_address;
  /// The manifest when the daemon's one is not current. Version 0 otherwise.
  manifest_record manifest;
  directory_update directory;
  std::vector<token_grant> grants;
  /// Fingerprints after the first `quarantine_size` of the request.
  std::vector<std::string> quarantined;
  /// Fingerprints that were in flight in a crash; daemons report their completion.
  std::vector<std::string> suspects;
  /// Addresses of all control members.
  std::vector<std::string> control_addresses;
  /// Latest known incarnation of the daemon when it is above that of the request, otherwise 0.
  uint64_t outdated_by = 0;
};

/// The answer to `propose`.
struct propose_response {
  /// True when the leader answered. Otherwise `leader_address` names it, if it is known.
  bool from_leader = false;
  std::string leader_address;
  /// The result of the command, or why its outcome is not known.
  command_result result;
};

/// One control member as seen by the answering daemon.
struct member_status {
  uint64_t member_id = 0;
  std::string address;
  std::string data_centre;
  bool voter = false;
};

/// State of a daemon for operators.
struct status_report {
  daemon_announcement daemon;
  uint64_t manifest_version = 0;
  std::string manifest_digest;
  bool fresh = false;
  /// Running and queued calls.
  uint64_t calls_running = 0;
  uint64_t calls_queued = 0;
  uint64_t concurrency_limit = 0;
  /// The directory as this daemon knows it.
  std::vector<daemon_announcement> directory;
  /// Set on control members.
  bool control = false;
  member_role role = member_role::kFollower;
  uint64_t term = 0;
  uint64_t commit_index = 0;
  std::string leader_address;
  std::vector<member_status> members;
};

}  // namespace teaseljunction
