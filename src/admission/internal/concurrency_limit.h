#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "admission/types.h"

namespace teaseljunction {

/// Adaptive limit of the number of calls that a target runs at once.
///
/// The service time of each window of calls is compared with a baseline. While it is close to the
/// baseline, a limit that is reached grows. A clearly longer service time starts a trial with a
/// lower limit. If the lower limit shortens the service time, the target was congested and the
/// lower limit is kept. Otherwise the calls themselves have become slower and a lower limit would
/// only reduce the throughput, so the limit is restored and the longer service time becomes the
/// baseline. Not thread-safe.
class concurrency_limit {
 public:
  /// Sets the maximum limit. The first value above 0 starts with a low limit, as for a cold target.
  void SetSlots(uint32_t slots, absl::Time now);

  /// Returns to the low initial limit and drops all measurements.
  void Reset(absl::Time now);

  /// Returns the limit: from 1 to the slots, or 0 without slots.
  uint32_t Current() const;

  /// Records that a call has started. `in_flight` is the number of running calls, this one
  /// included. Returns the number of the measurement window that the call belongs to, for
  /// `OnFinish`, or 0 when it is not measured.
  uint64_t OnStart(size_t in_flight);

  /// Records the end of a call. `in_flight` is the number of running calls, this one included.
  void OnFinish(target_result result, uint64_t window, absl::Duration service_time,
                size_t in_flight, absl::Time now);

  /// Sets whether any priority has a standing queue.
  void SetStandingQueue(bool standing_queue) { standing_queue_ = standing_queue; }

 private:
  /// Change of the limit that is being tried.
  enum class trial_kind : uint8_t { kNone, kLower, kHigher };

  size_t RequiredWindowCalls() const;
  void OnShed(size_t in_flight, absl::Time now);
  bool WindowComplete(absl::Time now) const;
  void EvaluateWindow(absl::Time now);
  void UpdateBaseline(absl::Duration elapsed);
  void Grow(absl::Time now);
  void StartTrial(trial_kind kind, absl::Time now);
  void FinishTrial(double service_time, absl::Time now);
  void RejectLowerLimit(absl::Time now);
  void SetLimit(double limit, absl::Time now);
  void StartWindow(absl::Time now);

  uint32_t slots_ = 0;
  double limit_ = 0;
  /// True from a cold start until the first sign of congestion.
  bool cold_ = true;
  bool standing_queue_ = false;
  /// True when the limit has been reached in the current window.
  bool limit_reached_ = false;
  /// Number of the current window. It measures the first calls that start after the last change;
  /// measuring the first calls that finish would favour short ones.
  uint64_t window_ = 0;
  absl::Time window_start_ = absl::InfinitePast();
  /// Number of calls in the window, and service times in seconds of those that were answered.
  size_t window_calls_ = 0;
  std::vector<double> samples_;
  /// Smoothed service time of the recent windows in seconds, 0 when unknown.
  double recent_service_time_ = 0;
  /// Consecutive windows in which the target seemed congested.
  int congested_windows_ = 0;
  /// Service time without congestion in seconds, 0 when unknown.
  double baseline_ = 0;
  /// Baseline in seconds from before the recent rejected trials, 0 when there were none.
  double previous_baseline_ = 0;
  trial_kind trial_ = trial_kind::kNone;
  double limit_before_trial_ = 0;
  double service_time_before_trial_ = 0;
  absl::Time next_trial_ = absl::InfinitePast();
  absl::Duration trial_pause_ = absl::ZeroDuration();
  /// Calls that the target sheds until then do not lower the limit.
  absl::Time ignore_sheds_until_ = absl::InfinitePast();
  /// The limit grows slowly until then, because the target has shed calls.
  absl::Time slow_growth_until_ = absl::InfinitePast();
};

}  // namespace teaseljunction
