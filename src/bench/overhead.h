#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "common/result.h"

namespace teaseljunction {

/// Settings of an overhead measurement. Addresses are the "IP:port" of running processes.
struct overhead_settings {
  /// Address of the stand-in target.
  std::string direct;
  /// Entry address of the daemon beside the target.
  std::string local;
  /// Entry address of another daemon; calls to it pass through two daemons.
  std::string remote;
  /// Path of the GET requests.
  std::string path;
  /// API key of the client account.
  std::string key;
  /// Rates to measure at, in calls per second; each must be positive.
  std::vector<int> rates;
  /// Duration of one round on one call path, and rounds per call path and rate. The call paths take
  /// turns, so that changes in the load of the machine affect all of them.
  absl::Duration round_duration = absl::Seconds(1);
  int rounds = 10;
  /// IDs of the processes whose CPU time and memory are reported.
  std::vector<int> pids;
};

/// Latencies of one call path at one rate, in milliseconds.
struct overhead_row {
  /// Calls per second.
  int rate = 0;
  /// "direct", "one daemon" or "two daemons".
  std::string call_path;
  /// Calls answered with status 200. The latencies count only these.
  uint64_t calls = 0;
  uint64_t failures = 0;
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  /// p99 minus the p99 of direct calls at the same rate.
  double added_p99 = 0;
};

/// Resource use of one process during the measurement.
struct process_usage {
  int pid = 0;
  /// CPU seconds per second, user and system time together.
  double cores = 0;
  /// Resident memory at the end, in units of 10^6 bytes.
  double resident_megabytes = 0;
};

/// Result of MeasureOverhead.
struct overhead_report {
  std::vector<overhead_row> rows;
  std::vector<process_usage> processes;
};

/// Sends the same calls directly to the target, through one daemon and through two daemons, and
/// measures their latencies. Calls are sent at fixed rates without waiting for responses (open
/// loop). Blocks for the whole measurement. Fails with kSettingInvalid when an address is missing.
result<overhead_report> MeasureOverhead(const overhead_settings& settings);

}  // namespace teaseljunction
