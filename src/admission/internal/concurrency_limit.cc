#include "admission/internal/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace teaseljunction {
namespace {

// Part of the slots at which a cold target starts, and the least number of calls for that.
constexpr double kColdPart = 0.125;
constexpr double kColdMinimum = 4;
constexpr size_t kMinMembers = 32;
constexpr size_t kMaxMembers = 128;
constexpr size_t kMinTrialMembers = 96;
constexpr size_t kMaxTrialMembers = 256;
// Part of a window's calls that must have finished, and the part of the fastest calls that is
// averaged. The mean of exponentially distributed times of 100 calls then differs by 12 %.
constexpr double kFinishedPart = 0.9;
constexpr double kFastestPart = 0.8;
// A window that has lasted this long needs only a few samples.
constexpr absl::Duration kLongWindow = absl::Milliseconds(500);
constexpr size_t kFewSamples = 16;
// A window that has lasted this long ends although calls that hang keep it incomplete.
constexpr absl::Duration kLongestWindow = absl::Seconds(2);
constexpr double kSmoothing = 0.3;
// Ratio of service time to baseline up to which the limit grows.
constexpr double kGrowRatio = 1.3;
// Ratio of service time to baseline above which the target may be congested.
constexpr double kCongestedRatio = 1.5;
// Windows in a row with such a ratio before a trial. The first one can include calls from before
// the change, so that a trial would be compared with too short a service time.
constexpr int kCongestedWindows = 2;
// Ratio of service time to the former baseline that repeats a rejected trial.
constexpr double kRepeatRatio = 2;
constexpr double kColdGrowth = 2;
constexpr double kGrowth = 1.4;
constexpr double kSlowGrowth = 1.02;
// A trial aims at a service time of this ratio to the baseline, in limited steps.
constexpr double kTrialRatio = 1.2;
constexpr double kLowestTrial = 0.5;
constexpr double kHighestTrial = 0.85;
constexpr double kHigherTrial = 1.25;
// A congested target's service time is proportional to the calls it runs. The middle between that
// and no effect decides a trial.
constexpr double kHigherAccepted = 1.12;
constexpr absl::Duration kFirstTrialPause = absl::Seconds(1);
constexpr absl::Duration kLastTrialPause = absl::Seconds(4);
constexpr absl::Duration kBaselineTimeConstant = absl::Seconds(10);
constexpr double kBaselineDecrease = 0.2;
constexpr double kShedFactor = 0.9;
constexpr absl::Duration kShedInterval = absl::Milliseconds(20);
constexpr absl::Duration kSlowGrowthTime = absl::Seconds(1);

// The mean of the fastest calls stands for the minimum: it ignores outliers, and differs less
// between windows than the smallest value does. `members` counts the calls of the window, finished
// or not.
double FastestMean(std::vector<double>& samples, size_t members) {
  const auto part = static_cast<size_t>(kFastestPart * static_cast<double>(members));
  const size_t count = std::clamp<size_t>(part, 1, samples.size());
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
  const bool standing = standing_;
  const uint64_t window = window_;
  *this = concurrency_limit();
  window_ = window;
  slots_ = slots;
  standing_ = standing;
  limit_ = slots == 0 ? 0 : std::max(kColdMinimum, slots * kColdPart);
  StartWindow(now);
}

uint32_t concurrency_limit::Get() const {
  const auto limit = static_cast<uint32_t>(std::max(limit_, 1.0));
  return std::min(slots_, limit);
}

uint64_t concurrency_limit::OnStart(size_t in_flight) {
  if (in_flight >= Get()) limited_ = true;
  if (members_ >= MembersNeeded()) return 0;
  ++members_;
  return window_;
}

void concurrency_limit::OnFinish(target_result result, uint64_t window, absl::Duration service_time,
                                 size_t in_flight, absl::Time now) {
  if (result == target_result::kShed) return OnShed(in_flight, now);
  if (window != window_) return;
  if (result != target_result::kAnswered) {
    --members_;
    return;
  }
  samples_.push_back(absl::ToDoubleSeconds(service_time));
  if (WindowComplete(now)) Evaluate(now);
}

bool concurrency_limit::WindowComplete(absl::Time now) const {
  const absl::Duration elapsed = now - window_start_;
  if (samples_.size() < kFewSamples) return false;
  if (elapsed >= kLongestWindow) return true;
  if (samples_.size() < kFinishedPart * static_cast<double>(members_)) return false;
  const bool may_be_small = trial_ == trial_kind::kNone && elapsed >= kLongWindow;
  return members_ >= MembersNeeded() || may_be_small;
}

size_t concurrency_limit::MembersNeeded() const {
  const size_t limit = Get();
  // A trial that is decided by chance can halve the throughput, so it measures more calls.
  if (trial_ != trial_kind::kNone) return std::clamp(3 * limit, kMinTrialMembers, kMaxTrialMembers);
  return std::clamp(limit, kMinMembers, kMaxMembers);
}

void concurrency_limit::OnShed(size_t in_flight, absl::Time now) {
  slow_growth_until_ = now + kSlowGrowthTime;
  cold_ = false;
  if (now < next_shed_) return;
  // Calls that are already on their way are shed too; they must not lower the limit again.
  next_shed_ = now + std::max(kShedInterval, absl::Seconds(baseline_));
  trial_ = trial_kind::kNone;
  Change(std::min<double>(Get(), static_cast<double>(in_flight)) * kShedFactor, now);
}

void concurrency_limit::Evaluate(absl::Time now) {
  const double service_time = std::max(FastestMean(samples_, members_), 1e-6);
  const absl::Duration elapsed = now - window_start_;
  const bool limited = limited_;
  StartWindow(now);
  if (trial_ != trial_kind::kNone) return FinishTrial(service_time, now);
  const bool jump =
      service_time > kCongestedRatio * recent_ || service_time * kCongestedRatio < recent_;
  recent_ = jump ? service_time : recent_ + kSmoothing * (service_time - recent_);
  UpdateBaseline(elapsed);
  if (!limited) return;
  const double ratio = recent_ / baseline_;
  const bool congested = ratio > kCongestedRatio && service_time > kCongestedRatio * baseline_;
  const bool repeat = former_baseline_ > 0 && recent_ > kRepeatRatio * former_baseline_;
  const bool may_try = now >= next_trial_;
  congested_windows_ = congested ? congested_windows_ + 1 : 0;
  if (congested || (repeat && may_try)) {
    cold_ = false;
    const bool confirmed = repeat || congested_windows_ >= kCongestedWindows;
    if (confirmed && may_try && Get() > 1) StartTrial(trial_kind::kLower, now);
  } else if (ratio <= kGrowRatio) {
    Grow(now);
  } else if (standing_ && may_try && Get() < slots_) {
    StartTrial(trial_kind::kHigher, now);
  }
}

void concurrency_limit::UpdateBaseline(absl::Duration elapsed) {
  if (baseline_ == 0) {
    baseline_ = recent_;
  } else if (recent_ < baseline_) {
    baseline_ += (recent_ - baseline_) * kBaselineDecrease;
  } else if (recent_ <= kCongestedRatio * baseline_) {
    const double weight = std::min(1.0, absl::FDivDuration(elapsed, kBaselineTimeConstant));
    baseline_ += (recent_ - baseline_) * weight;
  }
}

void concurrency_limit::Grow(absl::Time now) {
  if (Get() >= slots_) return;
  const double factor = now < slow_growth_until_ ? kSlowGrowth : (cold_ ? kColdGrowth : kGrowth);
  Change(std::max(limit_ * factor, limit_ + 1), now);
}

void concurrency_limit::StartTrial(trial_kind kind, absl::Time now) {
  trial_ = kind;
  limit_before_trial_ = Get();
  service_time_before_trial_ = recent_;
  if (kind == trial_kind::kHigher) {
    return Change(std::max(limit_before_trial_ * kHigherTrial, limit_before_trial_ + 1), now);
  }
  const double normal = former_baseline_ > 0 ? former_baseline_ : baseline_;
  const double factor = std::clamp(kTrialRatio * normal / recent_, kLowestTrial, kHighestTrial);
  Change(std::floor(limit_before_trial_ * factor), now);
}

void concurrency_limit::FinishTrial(double service_time, absl::Time now) {
  const double ratio = service_time / service_time_before_trial_;
  const trial_kind kind = trial_;
  trial_ = trial_kind::kNone;
  recent_ = 0;
  if (kind == trial_kind::kLower) {
    if (ratio > (1 + Get() / limit_before_trial_) / 2) return RejectLower(now);
    trial_pause_ = absl::ZeroDuration();
    former_baseline_ = 0;
  } else if (ratio > kHigherAccepted) {
    next_trial_ = now + kFirstTrialPause;
    Change(limit_before_trial_, now);
  }
}

void concurrency_limit::RejectLower(absl::Time now) {
  trial_pause_ = std::max(trial_pause_ * 2, kFirstTrialPause);
  next_trial_ = now + trial_pause_;
  if (former_baseline_ == 0) former_baseline_ = baseline_;
  if (trial_pause_ > kLastTrialPause) {
    former_baseline_ = 0;
    trial_pause_ = absl::ZeroDuration();
  }
  baseline_ = service_time_before_trial_;
  Change(limit_before_trial_, now);
}

void concurrency_limit::Change(double limit, absl::Time now) {
  limit_ = std::clamp(limit, 1.0, std::max<double>(slots_, 1));
  StartWindow(now);
}

void concurrency_limit::StartWindow(absl::Time now) {
  ++window_;
  members_ = 0;
  samples_.clear();
  limited_ = false;
  window_start_ = now;
}

}  // namespace teaseljunction
