#pragma once

#include <cstdint>

#include "absl/time/time.h"

namespace teaseljunction {

/// Times of an event loop in a period.
struct busy_period_report {
  /// Share of the period in which the loop did not wait for events, from 0 to 1.
  double busy_share = 0;
  /// Longest run, for which events that arrived in it had to queue at most.
  absl::Duration longest_run;
  /// Number of waits that ended a run.
  uint64_t waits = 0;
};

/// Measures how busy an event loop is, from the times in which it waits for events. A run is the
/// time from one wait to the next; waits below 0.1 ms do not end it. A loop that does not get the
/// processor counts as busy. Not thread-safe. Does not read the clock; times that step back count
/// as no time.
class busy_meter {
 public:
  explicit busy_meter(absl::Time now) : updated_at_(now), running_since_(now), period_start_(now) {}

  /// Records that the loop waited for events from `began` to `ended`.
  void RecordWait(absl::Time began, absl::Time ended);

  /// Returns the recent share of time in which the loop was busy, from 0 to 1, plus the length of
  /// the current run as a part of 500 ms, at most 1 in addition.
  double LoadAt(absl::Time now) const;

  /// Returns the total time in which the loop was busy.
  absl::Duration BusyTime(absl::Time now) const;

  /// Returns the figures since the previous call and starts a new period.
  busy_period_report TakePeriod(absl::Time now);

 private:
  // Returns the average share after `elapsed` in which the loop was busy (1) or waited (0).
  double ShareAfter(absl::Duration elapsed, double state) const;

  double share_ = 0;
  absl::Time updated_at_;
  absl::Time running_since_;
  absl::Duration busy_time_;
  absl::Time period_start_;
  absl::Duration busy_before_period_;
  absl::Duration longest_run_;
  uint64_t waits_ = 0;
};

}  // namespace teaseljunction
