#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace teaseljunction {

/// Cost of one kind of decision at one number of threads.
struct decision_row {
  /// Name of the measured operation, such as "admission".
  std::string operation;
  int threads = 0;
  /// True when all threads share one instance and its lock, false when each thread has its own.
  bool shared = false;
  /// Wall-clock time per decision and thread, including the wait for the lock.
  double nanoseconds = 0;
  /// CPU time per decision. Excludes the time during which the thread was not scheduled.
  double cpu_nanoseconds = 0;
  /// Decisions per second, summed over all threads.
  double per_second = 0;
};

/// Result of MeasureDecisions.
struct decision_report {
  std::vector<decision_row> rows;
  /// Number of claims stored for the memory measurement.
  uint64_t claims = 0;
  /// Growth of the process's resident memory per stored claim, in bytes.
  double bytes_per_claim = 0;
};

/// Measures the decisions that a daemon makes for each call, and the application of claims, with 1,
/// 2, 4 and 8 threads. Each time is the median of several runs.
///
/// With `deadlock_detection`, Abseil's deadlock detection keeps the default of the installed
/// library; otherwise it is disabled for the whole process. When active, it acquires a process-wide
/// lock each time an absl::Mutex is locked, which distorts the results.
decision_report MeasureDecisions(bool deadlock_detection);

}  // namespace teaseljunction
