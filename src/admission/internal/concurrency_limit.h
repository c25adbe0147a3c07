#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "admission/types.h"

namespace teaseljunction {

/// Adaptive number of calls that a target may run at once.
///
/// The service time of a window of calls is compared with a baseline. While it is near the baseline
/// the limit grows if it is in use. A clearly longer service time starts a trial with a lower
/// limit. The lower limit is kept only when it shortens the service time: then the target was
/// congested. Otherwise the work itself has become slower, fewer calls at once would only cost
/// throughput, and the longer service time becomes the baseline.
class concurrency_limit {
 public:
  /// Sets the highest limit. The first value above 0 starts low, like a cold target.
  void SetSlots(uint32_t slots, absl::Time now);

  /// Starts low and forgets all measurements.
  void Reset(absl::Time now);

  uint32_t Get() const;

  /// Tells that a call has started and how many run now. Returns the window of measurement that the
  /// call belongs to, for `OnFinish`.
  uint64_t OnStart(size_t in_flight);

  /// Tells that a call has ended, and how many ran with it.
  void OnFinish(target_result result, uint64_t window, absl::Duration service_time,
                size_t in_flight, absl::Time now);

  /// Tells whether calls wait for a slot for longer than they should.
  void SetStanding(bool standing) { standing_ = standing; }

 private:
  enum class trial_kind : uint8_t { kNone, kLower, kHigher };

  size_t MembersNeeded() const;
  void OnShed(size_t in_flight, absl::Time now);
  bool WindowComplete(absl::Time now) const;
  void Evaluate(absl::Time now);
  void UpdateBaseline(absl::Duration elapsed);
  void Grow(absl::Time now);
  void StartTrial(trial_kind kind, absl::Time now);
  void FinishTrial(double service_time, absl::Time now);
  void RejectLower(absl::Time now);
  void Change(double limit, absl::Time now);
  void StartWindow(absl::Time now);

  uint32_t slots_ = 0;
  double limit_ = 0;
  /// True from a cold start until the first sign of congestion.
  bool cold_ = true;
  bool standing_ = false;
  /// True when the limit was reached in the current window.
  bool limited_ = false;
  /// The current window measures the first calls that started after the last change. Measuring the
  /// first calls that finish instead would prefer short ones.
  uint64_t window_ = 0;
  absl::Time window_start_ = absl::InfinitePast();
  /// Number of calls in the window, and the service times in seconds of those that have finished.
  size_t members_ = 0;
  std::vector<double> samples_;
  /// Smoothed service time of the last windows in seconds, 0 when unknown.
  double recent_ = 0;
  /// Windows in a row in which the target seemed congested.
  int congested_windows_ = 0;
  /// Service time without congestion in seconds, 0 when unknown.
  double baseline_ = 0;
  /// Baseline before the last trial that was rejected, 0 when there is none to return to.
  double former_baseline_ = 0;
  trial_kind trial_ = trial_kind::kNone;
  double limit_before_trial_ = 0;
  double service_time_before_trial_ = 0;
  absl::Time next_trial_ = absl::InfinitePast();
  absl::Duration trial_pause_ = absl::ZeroDuration();
  absl::Time next_shed_ = absl::InfinitePast();
  /// Until then the limit grows slowly, because the target has shed calls.
  absl::Time slow_growth_until_ = absl::InfinitePast();
};

}  // namespace teaseljunction
