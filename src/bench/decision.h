#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace teaseljunction {

/// Time of one kind of decision on a number of threads.
struct decision_row {
  std::string operation;
  int threads = 0;
  /// True when all threads use one instance under one lock, false when each has an own one.
  bool shared = false;
  /// Elapsed time of one decision as its thread sees it, waiting for the lock included.
  double nanoseconds = 0;
  /// Processor time of one decision. Unlike the elapsed time it does not contain the time for which
  /// the thread was not scheduled.
  double cpu_nanoseconds = 0;
  /// Decisions of all threads together.
  double per_second = 0;
};

struct decision_report {
  std::vector<decision_row> rows;
  uint64_t claims = 0;
  /// Growth of the resident memory of this process by one claim.
  double bytes_per_claim = 0;
};

/// Measures the decisions that the daemon takes for each call, and claims, on 1 to 8 threads. Each
/// figure is the median of several runs. `deadlock_detection` leaves Abseil's search for lock
/// cycles as it is in the installed library, otherwise it is turned off. It takes one lock for the
/// whole process at each lock of an absl::Mutex.
decision_report MeasureDecisions(bool deadlock_detection);

}  // namespace teaseljunction
