#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "common/log_settings.h"
#include "common/result.h"
#include "control/types.h"
#include "daemon/account_rates.h"
#include "membership/target_lease.h"

namespace teaseljunction {

/// The target on the daemon's host, where the deployment configures it.
struct local_target_settings {
  /// Address of the target's HTTP server, "IP:port". When empty, the daemon waits for the target's
  /// announcement.
  std::string address;
  std::string service;
};

/// Validated settings of the daemon.
struct daemon_settings {
  /// Listen address for callers and for the local target, "IP:port".
  std::string listen;
  /// Listen address for operators, "IP:port".
  std::string operators_listen;
  /// Listen address for other daemons, "IP:port". Other daemons connect to the same address.
  std::string rpc_listen;
  std::string data_centre;
  /// Unique name of this daemon. Must stay the same across restarts.
  std::string daemon_id;
  /// True when this daemon is a member of the control group.
  bool control = false;
  /// Folder for durable state; required with `control`.
  std::string data_dir;
  /// Addresses (`rpc_listen`) of the control members.
  std::vector<std::string> control_peers;
  /// Time for which a confirmed manifest is used without another confirmation.
  absl::Duration freshness_lease;
  /// Number of voters that the control group maintains automatically; 0 leaves its membership to
  /// operators.
  uint32_t control_voters = 0;
  /// Time without contact after which a voter is replaced by a spare control member. Used with
  /// `control_voters`.
  absl::Duration control_replacement_timeout = absl::Seconds(4);
  /// Number of control members that must have stored a manifest before it is accepted, in addition
  /// to the requirement of a majority.
  uint32_t durable_copies = 1;
  /// Time-outs and intervals of the Raft protocol between control members.
  raft_timing control_timing;
  /// True when this member may bootstrap a new control group with the other `control_peers`.
  bool allow_bootstrap = true;
  /// Time for which an announcement of the target is valid.
  absl::Duration target_lease = absl::Seconds(3);
  /// Time for which a target goes on serving after it has announced that it is draining.
  absl::Duration target_drain_time = kTargetDrainTime;
  /// Limit of the memory for all answers of the target that are being received, in bytes.
  uint64_t max_answer_memory = uint64_t{32} << 20;
  /// Limit of the memory for bodies of requests and for answers that wait for their readers, and
  /// again for further copies of the bodies of running requests, in bytes.
  uint64_t max_request_memory = uint64_t{128} << 20;
  /// Probed when the daemon starts, so that a restarted daemon can use the target before its next
  /// announcement.
  local_target_settings local_target;
  /// Retries to a service as a fraction of its first attempts. A negative value uses the
  /// manifest's.
  double retry_ratio = -1;
  /// Retries per second, and burst of retries, that this daemon may send to each service in
  /// addition to the ratio.
  double retry_reserve = 3;
  /// True when the concurrency limit of a target is always its announced number of slots.
  bool fixed_concurrency_limit = false;
  /// What the deployment tolerates beyond the rates of client accounts.
  rate_tolerance tolerance;
  /// Longest time that a request waits for a token of its client account.
  absl::Duration token_wait;
  /// Time between the announcement of a planned shutdown and the refusal of new calls.
  absl::Duration drain_delay;
  /// Longest time that a planned shutdown waits for running calls.
  absl::Duration drain_timeout;
  /// Numbers of threads; 0 uses the daemon's event loop.
  unsigned http_threads = 0;
  unsigned rpc_threads = 0;
  unsigned client_threads = 0;
  /// Largest accepted body of a request.
  size_t max_body_bytes = 0;
  /// Time for which a planned shutdown keeps idle connections open.
  absl::Duration idle_connection_linger = absl::Seconds(2);
  /// Idle time after which a connection to the target is not reused.
  absl::Duration target_idle_timeout = absl::Seconds(20);
  /// A connection to the target that was idle for longer than this is not reused for a request that
  /// may be sent at most once.
  absl::Duration at_most_once_idle_timeout;
  log_settings log;
};

/// Reads the settings from the command line and the environment, and validates them. A flag that is
/// not given takes its value from the environment variable TEASELJUNCTION_<FLAG>, with the flag's
/// name in upper case, if that is set.
/// Errors: kSettingInvalid; the detail names the setting.
result<daemon_settings> ReadSettings(int argc, char** argv);

}  // namespace teaseljunction
