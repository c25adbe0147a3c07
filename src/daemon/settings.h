#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "common/log.h"
#include "common/result.h"

namespace teaseljunction {

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
  /// Longest time that a request waits for a token of its client account.
  absl::Duration token_wait;
  /// Time between the announcement of a planned shutdown and the closing of the listeners.
  absl::Duration drain_delay;
  /// Longest time that a planned shutdown waits for running calls.
  absl::Duration drain_timeout;
  unsigned http_threads = 0;
  unsigned rpc_threads = 0;
  unsigned client_threads = 0;
  size_t max_body_bytes = 0;
  log_settings log;
};

/// Reads the command line and the environment. A flag that is not given takes its value from the
/// environment variable TEASELJUNCTION_<FLAG>, in capitals, when that is set.
/// Errors: kSettingInvalid with a sentence that names the setting.
result<daemon_settings> ReadSettings(int argc, char** argv);

}  // namespace teaseljunction
