#include "admission/internal/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace teaseljunction {
namespace {

// Initial limit of a cold target: a fraction of its slots, but at least this many calls.
constexpr double kColdFraction = 0.125;
constexpr double kMinColdLimit = 4;
// Bounds of the number of calls in a window, which otherwise is the limit.
constexpr size_t kMinWindowCalls = 32;
constexpr size_t kMaxWindowCalls = 128;
// Bounds of the number of calls in the window of a trial, which otherwise is three times the limit.
constexpr size_t kMinTrialCalls = 96;
constexpr size_t kMaxTrialCalls = 256;
// Fraction of a window's calls that must have finished, and the fraction of the fastest calls that
// is averaged. For 100 calls with exponentially distributed service times this mean varies by 12 %.
constexpr double kFinishedFraction = 0.9;
constexpr double kFastestFraction = 0.8;
// A window that has lasted this long may have fewer calls than required, but needs `kMinSamples`.
constexpr absl::Duration kLongWindowDuration = absl::Milliseconds(500);
constexpr size_t kMinSamples = 16;
// A window that has lasted this long ends even if hanging calls keep it incomplete.
constexpr absl::Duration kMaxWindowDuration = absl::Seconds(2);
// Weight of a window in the smoothed service time.
constexpr double kRecentWeight = 0.3;
// Highest ratio of service time to baseline at which the limit grows.
constexpr double kMaxGrowthRatio = 1.3;
// Ratio of service time to baseline above which the target may be congested.
constexpr double kCongestedRatio = 1.5;
// Consecutive windows above that ratio before a trial starts. The first one can include calls from
// before the slowdown; a trial right after it would be compared with too short a service time.
constexpr int kCongestedWindowsBeforeTrial = 2;
// Ratio of service time to the previous baseline above which a rejected trial is repeated.
constexpr double kRepeatTrialRatio = 2;
// Growth of the limit per window: before the first sign of congestion, afterwards, and for a while
// after the target has shed calls.
constexpr double kColdGrowthFactor = 2;
constexpr double kGrowthFactor = 1.4;
constexpr double kSlowGrowthFactor = 1.02;
// A trial with a lower limit aims at this ratio of service time to baseline. It multiplies the
// limit by a factor within these bounds.
constexpr double kTrialTargetRatio = 1.2;
constexpr double kMinTrialFactor = 0.5;
constexpr double kMaxTrialFactor = 0.85;
// A trial with a higher limit multiplies the limit by this factor.
constexpr double kRaiseTrialFactor = 1.25;
// Ratio of service times up to which a higher limit is kept. The service time of a congested target
// is proportional to the calls that it runs. The threshold lies halfway between that and no effect,
// as it does for a lower limit.
constexpr double kMaxRaiseTrialRatio = 1.12;
// Pause after a rejected trial. It doubles with each rejection; above the maximum the longer
// service time is accepted and no trial is repeated because of the previous baseline.
constexpr absl::Duration kMinTrialPause = absl::Seconds(1);
constexpr absl::Duration kMaxTrialPause = absl::Seconds(4);
// The baseline follows a longer service time, while it is not congested, with this time constant,
// and a shorter one with this weight per window.
constexpr absl::Duration kBaselineTimeConstant = absl::Seconds(10);
constexpr double kBaselineDecreaseWeight = 0.2;
// The limit is multiplied by this factor when the target sheds calls, at most once per interval.
constexpr double kShedDecreaseFactor = 0.9;
constexpr absl::Duration kMinShedInterval = absl::Milliseconds(20);
constexpr absl::Duration kSlowGrowthDuration = absl::Seconds(1);

// Estimates the minimum service time by the mean of the fastest calls, which ignores outliers and
// varies less between windows than the smallest sample. `window_calls` is the number of calls in
// the window, finished or not.
double MeanOfFastest(std::vector<double>& samples, size_t window_calls) {
  const auto fastest = static_cast<size_t>(kFastestFraction * static_cast<double>(window_calls));
  const size_t count = std::clamp<size_t>(fastest, 1, samples.size());
  const auto end = samples.begin() + static_cast<std::ptrdiff_t>(count);
  std::nth_element(samples.begin(), end - 1, samples.end());
  return std::accumulate(samples.begin(), end, 0.0) / static_cast<double>(count);
}

}  // namespace

void concurrency_limit::SetSlots(uint32_t slots, absl::Time now) {
  slots_ = slots;
  if (limit_ == 0 && slots > 0) Reset(now);
}

void concurrency_limit::Reset(absl::Time now) {
  const uint32_t slots = slots_;
  const bool standing_queue = standing_queue_;
  const uint64_t window = window_;
  *this = concurrency_limit();
  window_ = window;
  slots_ = slots;
  standing_queue_ = standing_queue;
  limit_ = slots == 0 ? 0 : std::max(kMinColdLimit, slots * kColdFraction);
  StartWindow(now);
}

uint32_t concurrency_limit::Current() const {
  const auto limit = static_cast<uint32_t>(std::max(limit_, 1.0));
  return std::min(slots_, limit);
}

uint64_t concurrency_limit::OnStart(size_t in_flight) {
  if (in_flight >= Current()) limit_reached_ = true;
  if (window_calls_ >= RequiredWindowCalls()) return 0;
  ++window_calls_;
  return window_;
}

void concurrency_limit::OnFinish(target_result result, uint64_t window, absl::Duration service_time,
                                 size_t in_flight, absl::Time now) {
  if (result == target_result::kShed) return OnShed(in_flight, now);
  if (window != window_) return;
  if (result != target_result::kAnswered) {
    --window_calls_;
    return;
  }
  samples_.push_back(absl::ToDoubleSeconds(service_time));
  if (WindowComplete(now)) EvaluateWindow(now);
}

bool concurrency_limit::WindowComplete(absl::Time now) const {
  const absl::Duration elapsed = now - window_start_;
  if (samples_.size() < kMinSamples) return false;
  if (elapsed >= kMaxWindowDuration) return true;
  if (samples_.size() < kFinishedFraction * static_cast<double>(window_calls_)) return false;
  const bool accept_few_calls = trial_ == trial_kind::kNone && elapsed >= kLongWindowDuration;
  return window_calls_ >= RequiredWindowCalls() || accept_few_calls;
}

size_t concurrency_limit::RequiredWindowCalls() const {
  const size_t limit = Current();
  // A wrong decision of a trial can halve the throughput, so a trial measures more calls.
  if (trial_ != trial_kind::kNone) return std::clamp(3 * limit, kMinTrialCalls, kMaxTrialCalls);
  return std::clamp(limit, kMinWindowCalls, kMaxWindowCalls);
}

void concurrency_limit::OnShed(size_t in_flight, absl::Time now) {
  slow_growth_until_ = now + kSlowGrowthDuration;
  cold_ = false;
  if (now < ignore_sheds_until_) return;
  // Calls that are already on their way will be shed too and must not lower the limit again.
  ignore_sheds_until_ = now + std::max(kMinShedInterval, absl::Seconds(baseline_));
  trial_ = trial_kind::kNone;
  SetLimit(std::min<double>(Current(), static_cast<double>(in_flight)) * kShedDecreaseFactor, now);
}

void concurrency_limit::EvaluateWindow(absl::Time now) {
  const double service_time = std::max(MeanOfFastest(samples_, window_calls_), 1e-6);
  const absl::Duration elapsed = now - window_start_;
  const bool limit_reached = limit_reached_;
  StartWindow(now);
  if (trial_ != trial_kind::kNone) return FinishTrial(service_time, now);
  const bool step_change = service_time > kCongestedRatio * recent_service_time_ ||
                           service_time * kCongestedRatio < recent_service_time_;
  recent_service_time_ =
      step_change ? service_time
                  : recent_service_time_ + kRecentWeight * (service_time - recent_service_time_);
  UpdateBaseline(elapsed);
  if (!limit_reached) return;
  const double ratio = recent_service_time_ / baseline_;
  const bool congested = ratio > kCongestedRatio && service_time > kCongestedRatio * baseline_;
  const bool repeat_trial =
      previous_baseline_ > 0 && recent_service_time_ > kRepeatTrialRatio * previous_baseline_;
  const bool trial_allowed = now >= next_trial_;
  congested_windows_ = congested ? congested_windows_ + 1 : 0;
  if (congested || (repeat_trial && trial_allowed)) {
    cold_ = false;
    const bool confirmed = repeat_trial || congested_windows_ >= kCongestedWindowsBeforeTrial;
    if (confirmed && trial_allowed && Current() > 1) StartTrial(trial_kind::kLower, now);
  } else if (ratio <= kMaxGrowthRatio) {
    Grow(now);
  } else if (standing_queue_ && trial_allowed && Current() < slots_) {
    StartTrial(trial_kind::kHigher, now);
  }
}

void concurrency_limit::UpdateBaseline(absl::Duration elapsed) {
  if (baseline_ == 0) {
    baseline_ = recent_service_time_;
  } else if (recent_service_time_ < baseline_) {
    baseline_ += (recent_service_time_ - baseline_) * kBaselineDecreaseWeight;
  } else if (recent_service_time_ <= kCongestedRatio * baseline_) {
    const double weight = std::min(1.0, absl::FDivDuration(elapsed, kBaselineTimeConstant));
    baseline_ += (recent_service_time_ - baseline_) * weight;
  }
}

void concurrency_limit::Grow(absl::Time now) {
  if (Current() >= slots_) return;
  const double factor =
      now < slow_growth_until_ ? kSlowGrowthFactor : (cold_ ? kColdGrowthFactor : kGrowthFactor);
  SetLimit(std::max(limit_ * factor, limit_ + 1), now);
}

void concurrency_limit::StartTrial(trial_kind kind, absl::Time now) {
  trial_ = kind;
  limit_before_trial_ = Current();
  service_time_before_trial_ = recent_service_time_;
  if (kind == trial_kind::kHigher) {
    return SetLimit(std::max(limit_before_trial_ * kRaiseTrialFactor, limit_before_trial_ + 1),
                    now);
  }
  const double uncongested = previous_baseline_ > 0 ? previous_baseline_ : baseline_;
  const double factor = std::clamp(kTrialTargetRatio * uncongested / recent_service_time_,
                                   kMinTrialFactor, kMaxTrialFactor);
  SetLimit(std::floor(limit_before_trial_ * factor), now);
}

void concurrency_limit::FinishTrial(double service_time, absl::Time now) {
  const double ratio = service_time / service_time_before_trial_;
  const trial_kind kind = trial_;
  trial_ = trial_kind::kNone;
  recent_service_time_ = 0;
  if (kind == trial_kind::kLower) {
    if (ratio > (1 + Current() / limit_before_trial_) / 2) return RejectLowerLimit(now);
    trial_pause_ = absl::ZeroDuration();
    previous_baseline_ = 0;
  } else if (ratio > kMaxRaiseTrialRatio) {
    next_trial_ = now + kMinTrialPause;
    SetLimit(limit_before_trial_, now);
  }
}

void concurrency_limit::RejectLowerLimit(absl::Time now) {
  trial_pause_ = std::max(trial_pause_ * 2, kMinTrialPause);
  next_trial_ = now + trial_pause_;
  if (previous_baseline_ == 0) previous_baseline_ = baseline_;
  if (trial_pause_ > kMaxTrialPause) {
    previous_baseline_ = 0;
    trial_pause_ = absl::ZeroDuration();
  }
  baseline_ = service_time_before_trial_;
  SetLimit(limit_before_trial_, now);
}

void concurrency_limit::SetLimit(double limit, absl::Time now) {
  limit_ = std::clamp(limit, 1.0, std::max<double>(slots_, 1));
  StartWindow(now);
}

void concurrency_limit::StartWindow(absl::Time now) {
  ++window_;
  window_calls_ = 0;
  samples_.clear();
  limit_reached_ = false;
  window_start_ = now;
}

}  // namespace teaseljunction
