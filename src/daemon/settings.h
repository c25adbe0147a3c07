#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "common/log_settings.h"
#include "common/result.h"
#include "control/types.h"
#include "daemon/account_rates.h"

namespace teaseljunction {

/// The target beside a daemon, where the deployment tells it.
struct local_target_settings {
  /// "IP:port"; empty when the daemon waits for the target's announcement.
  std::string address;
  std::string service;
};

/// Settings of the daemon, checked.
struct daemon_settings {
  /// Address for callers and for the local target, "IP:port".
  std::string listen;
  /// Address for operators.
  std::string operators_listen;
  /// Address for other daemons. Also the one under which they reach this daemon.
  std::string rpc_listen;
  std::string data_centre;
  /// Unique name of this daemon; it stays the same over restarts.
  std::string daemon_id;
  bool control = false;
  /// Folder for durable state; required with `control`.
  std::string data_dir;
  /// RPC addresses of the control members.
  std::vector<std::string> control_peers;
  absl::Duration freshness_lease;
  /// Voters that the control group keeps by itself; 0 leaves its membership to operators.
  uint32_t control_voters = 0;
  /// Control members that must have stored a manifest before it is accepted, beside the majority.
  uint32_t durable_copies = 1;
  /// Times of the agreement between control members.
  raft_times control_times;
  /// True when this member may start a new group with the other `control_peers`.
  bool may_bootstrap = true;
  /// Time for which an announcement of the target is valid.
  absl::Duration target_lease = absl::Seconds(3);
  /// Probed at the start of the daemon, so that a restart does not cost the time until the target's
  /// next announcement.
  local_target_settings local_target;
  /// Retries to a service as a share of its first attempts; below 0 takes that of the manifest.
  double retry_ratio = -1;
  /// Retries per second, and at once, that this daemon may send to each service beside its ratio.
  double retry_reserve = 3;
  /// Requests that a target in this deployment can always run at once: its announced slots.
  bool fixed_concurrency = false;
  /// What the deployment tolerates beyond the rates of client accounts.
  rate_tolerance tolerance;
  /// Longest time that a request waits for a token of its client account.
  absl::Duration token_wait;
  /// Time between the announcement of a planned shutdown and the closing of the listeners.
  absl::Duration drain_delay;
  /// Longest time that a planned shutdown waits for running calls.
  absl::Duration drain_timeout;
  /// 0 serves on the event loop of the daemon.
  unsigned http_threads = 0;
  unsigned rpc_threads = 0;
  unsigned client_threads = 0;
  size_t max_body_bytes = 0;
  /// Time for which a planned stop keeps connections without a request open.
  absl::Duration drain_linger = absl::Seconds(2);
  /// Idle times after which a kept connection to the target is not used again.
  absl::Duration target_idle = absl::Seconds(20);
  absl::Duration target_idle_at_most_once;
  log_settings log;
};

/// Reads the command line and the environment. A flag that is not given takes its value from the
/// environment variable TEASELJUNCTION_<FLAG>, in capitals, when that is set.
/// Errors: kSettingInvalid with a sentence that names the setting.
result<daemon_settings> ReadSettings(int argc, char** argv);

}  // namespace teaseljunction
