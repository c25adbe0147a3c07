#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "common/result.h"

namespace teaseljunction {

/// Settings of a soak run. Addresses are the "IP:port" of running processes.
struct soak_settings {
  /// Entries of the daemons. Connections are spread over them evenly.
  std::vector<std::string> entries;
  /// Addresses of all stand-in targets. They must not be restarted during the run.
  std::vector<std::string> targets;
  /// API key of the client account.
  std::string key;
  /// Number of connections, each with at most one request at a time.
  int connections = 24;
  absl::Duration duration;
  uint64_t seed = 1;
};

/// One checked property and how often it was violated.
struct soak_check {
  std::string property;
  uint64_t violations = 0;
};

/// Result of RunSoak.
struct soak_report {
  uint64_t requests = 0;
  /// Requests with the answer of a target.
  uint64_t answered = 0;
  /// Requests that a daemon refused as not run.
  uint64_t refused = 0;
  /// Requests that reached the timeout of their route.
  uint64_t timed_out = 0;
  /// Requests that were sent while the daemon closed the connection, and that it did not read.
  uint64_t unread = 0;
  std::vector<soak_check> checks;
  /// One line for each of the first violations.
  std::vector<std::string> details;
};

/// Sends GET /stock/... requests and POST /orders requests, some of them repeated, on connections
/// that are used until the daemon closes them, while the daemons are stopped and started by someone
/// else. Then compares the answers with the runs that the targets counted. Blocks for the whole
/// run. Errors: kSettingInvalid for an invalid address; kTargetUnreachable when a target's counters
/// cannot be read.
result<soak_report> RunSoak(const soak_settings& settings);

}  // namespace teaseljunction
