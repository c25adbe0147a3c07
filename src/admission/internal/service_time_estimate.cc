#include "admission/internal/service_time_estimate.h"

#include <cmath>

namespace teaseljunction {
namespace {

// Weight of a new sample.
constexpr double kSampleWeight = 0.1;
// An estimate begins to decay this long after the next call was expected to finish, and then halves
// once in each such interval.
constexpr absl::Duration kIdleHalfLife = absl::Milliseconds(200);

absl::Duration Smooth(absl::Duration average, absl::Duration sample) {
  if (average == absl::ZeroDuration()) return sample;
  return average + (sample - average) * kSampleWeight;
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
  const absl::Duration idle_time = now - entry.updated - entry.value - kIdleHalfLife;
  if (entry.value == absl::ZeroDuration() || idle_time <= absl::ZeroDuration()) return entry.value;
  return entry.value * std::exp2(-absl::FDivDuration(idle_time, kIdleHalfLife));
}

}  // namespace teaseljunction
