#include "event_loop/busy_meter.h"

#include <algorithm>
#include <cmath>

namespace teaseljunction {
namespace {

// Time constant of the average share.
constexpr absl::Duration kAveragingTime = absl::Milliseconds(100);
// A shorter wait ends with events that had arrived before it, so that it does not end a run.
constexpr absl::Duration kMinWait = absl::Microseconds(100);
// Time without a wait that counts as a queue as large as the work of the loop.
constexpr absl::Duration kFullQueueTime = absl::Milliseconds(500);
constexpr double kMaxQueueLoad = 1;

absl::Duration NonNegative(absl::Duration duration) {
  return std::max(duration, absl::ZeroDuration());
}

}  // namespace

double busy_meter::ShareAfter(absl::Duration elapsed, double state) const {
  return state + (share_ - state) * std::exp(-absl::FDivDuration(elapsed, kAveragingTime));
}

void busy_meter::RecordWait(absl::Time began, absl::Time ended) {
  const absl::Duration busy = NonNegative(began - updated_at_);
  const absl::Duration wait = NonNegative(ended - began);
  share_ = ShareAfter(busy, 1);
  share_ = ShareAfter(wait, 0);
  busy_time_ += busy;
  updated_at_ = ended;
  longest_run_ = std::max(longest_run_, NonNegative(began - running_since_));
  // A clock that was set back starts the run anew.
  if (wait < kMinWait && running_since_ <= ended) return;
  ++waits_;
  running_since_ = ended;
}

double busy_meter::LoadAt(absl::Time now) const {
  const absl::Duration run = NonNegative(now - running_since_);
  const double queue = std::min(absl::FDivDuration(run, kFullQueueTime), kMaxQueueLoad);
  return ShareAfter(NonNegative(now - updated_at_), 1) + queue;
}

absl::Duration busy_meter::BusyTime(absl::Time now) const {
  return busy_time_ + NonNegative(now - updated_at_);
}

busy_period_report busy_meter::TakePeriod(absl::Time now) {
  const absl::Duration length = now - period_start_;
  const absl::Duration run = NonNegative(now - running_since_);
  const absl::Duration busy = BusyTime(now);
  busy_period_report report;
  if (length > absl::ZeroDuration()) {
    report.busy_share =
        std::clamp(absl::FDivDuration(busy - busy_before_period_, length), 0.0, 1.0);
  }
  report.longest_run = std::max(longest_run_, run);
  report.waits = waits_;
  period_start_ = now;
  busy_before_period_ = busy;
  longest_run_ = absl::ZeroDuration();
  waits_ = 0;
  return report;
}

}  // namespace teaseljunction
