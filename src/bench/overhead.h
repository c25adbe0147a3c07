#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "common/result.h"

namespace teaseljunction {

/// Settings of an overhead measurement. Addresses are "IP:port" of running processes.
struct overhead_settings {
  /// The stand-in target itself.
  std::string direct;
  /// Entry of the daemon beside the target.
  std::string local;
  /// Entry of another daemon, so that calls cross two daemons.
  std::string remote;
  std::string path;
  std::string key;
  std::vector<int> rates;
  /// Time per way and round, and number of rounds. The ways alternate.
  absl::Duration round = absl::Seconds(1);
  int rounds = 10;
  /// Processes whose processor time and memory are reported.
  std::vector<int> pids;
};

/// Latencies of one way at one rate, in milliseconds.
struct overhead_row {
  int rate = 0;
  std::string way;
  uint64_t calls = 0;
  uint64_t failures = 0;
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  /// p99 above that of direct calls at the same rate.
  double added_p99 = 0;
};

/// Use of one process over the measurement.
struct process_usage {
  int pid = 0;
  /// Processor seconds per second, user and system.
  double cores = 0;
  double resident_megabytes = 0;
};

struct overhead_report {
  std::vector<overhead_row> rows;
  std::vector<process_usage> processes;
};

/// Sends the same calls directly, through one and through two daemons, at fixed rates regardless of
/// the answers, and measures the latency of each. Errors: kSettingInvalid.
result<overhead_report> MeasureOverhead(const overhead_settings& settings);

}  // namespace teaseljunction
