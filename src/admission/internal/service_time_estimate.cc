#include "admission/internal/service_time_estimate.h"

#include <cmath>

namespace teaseljunction {
namespace {

constexpr double kSmoothing = 0.1;
// Silence beyond the service time itself after which an estimate decreases, and its half-life then.
constexpr absl::Duration kHalfLife = absl::Milliseconds(200);

absl::Duration Smooth(absl::Duration old_value, absl::Duration sample) {
  if (old_value == absl::ZeroDuration()) return sample;
  return old_value + (sample - old_value) * kSmoothing;
}

}  // namespace

void service_time_estimate::Add(request_priority priority, absl::Duration service_time,
                                absl::Time now) {
  estimate& entry = estimates_[static_cast<size_t>(priority)];
  entry.value = Smooth(Expected(priority, now), service_time);
  entry.updated = now;
  mean_ = Smooth(mean_, service_time);
}

void service_time_estimate::Reset() { *this = service_time_estimate(); }

absl::Duration service_time_estimate::Expected(request_priority priority, absl::Time now) const {
  const estimate& entry = estimates_[static_cast<size_t>(priority)];
  const absl::Duration silence = now - entry.updated - entry.value - kHalfLife;
  if (entry.value == absl::ZeroDuration() || silence <= absl::ZeroDuration()) return entry.value;
  return entry.value * std::exp2(-absl::FDivDuration(silence, kHalfLife));
}

}  // namespace teaseljunction
