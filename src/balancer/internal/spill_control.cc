#include "balancer/internal/spill_control.h"

#include <algorithm>

namespace teaseljunction {
namespace {

constexpr absl::Duration kMinUpdateInterval = absl::Milliseconds(20);
// Time that one update covers at most, so that the first call after a pause changes little.
constexpr absl::Duration kMaxUpdateInterval = absl::Milliseconds(100);
// Some calls stay local, so that a recovery of the local targets is noticed.
constexpr double kMaxShare = 0.9;
// Share that is kept up while the remote load is unknown, to obtain reports of it.
constexpr double kProbeShare = 0.02;

// Local load above which calls leave the data centre.
constexpr double kSpillLoad = 0.7;
// A remote target is used when its load is lower than the local one by this margin, plus this much
// per unit of the share. Two data centres that send calls to each other thereby stop doing so.
constexpr double kLoadMargin = 0.02;
constexpr double kLoadMarginPerShare = 0.04;
// The share is the sum of a part that follows the load difference and of its integral. Without the
// first part, the share oscillates once calls queue, because the load of a queue is the integral of
// the share. One unit of share changes the load difference by up to 3 without a queue.
constexpr double kProportionalGain = 3;
constexpr double kIntegralGainPerSecond = 1.5;
// Bound of the load difference, and thereby of the integral's change.
constexpr double kMaxImbalance = 1;
// Bound of the change of the share per second.
constexpr double kMaxChangePerSecond = 4;

// Ratios of the remote to the local latency which the loads do not explain, since usual speeds
// differ by up to 3: below the first, calls leave at any load; above the second, they return.
constexpr double kRemoteMuchFasterRatio = 0.3;
constexpr double kRemoteMuchSlowerRatio = 2.5;
// Speed at which calls return while there are no reports of local targets, because few calls stay.
constexpr double kUnknownLocalImbalance = -0.05;

// Least change of the share that is logged, and least time between two log lines.
constexpr double kLoggedChange = 0.1;
constexpr absl::Duration kLogInterval = absl::Seconds(1);

// Returns by how much the reported loads raise the share.
double LoadImbalance(const spill_inputs& inputs, double share) {
  if (!inputs.local_load) return inputs.remote_load ? kUnknownLocalImbalance : -1;
  const double excess = *inputs.local_load - kSpillLoad;
  if (!inputs.remote_load) return share > kProbeShare ? -1 : std::min(excess, kProbeShare - share);
  const double difference = *inputs.local_load - *inputs.remote_load;
  return std::min(excess, difference - kLoadMargin - kLoadMarginPerShare * share);
}

// Returns the load difference that the share follows, within what the latencies justify.
double Imbalance(const spill_inputs& inputs, double share) {
  const double ratio = inputs.remote_latency / inputs.local_latency;
  const double imbalance =
      std::max(std::min(LoadImbalance(inputs, share), 1 - ratio / kRemoteMuchSlowerRatio),
               1 - ratio / kRemoteMuchFasterRatio);
  return std::clamp(imbalance, -kMaxImbalance, kMaxImbalance);
}

}  // namespace

bool spill_control::UpdateDue(absl::Time now) const {
  // After the clock was set back, the updates must not wait until it catches up.
  return now < updated_at_ || now - updated_at_ >= kMinUpdateInterval;
}

void spill_control::Update(const spill_inputs& inputs, absl::Time now) {
  if (!UpdateDue(now)) return;
  const bool measurable = updated_at_ != absl::InfinitePast() && now >= updated_at_;
  const absl::Duration elapsed =
      measurable ? std::min(now - updated_at_, kMaxUpdateInterval) : kMinUpdateInterval;
  updated_at_ = now;
  inputs_ = inputs;
  const double imbalance = Imbalance(inputs, integral_);
  const double change = kIntegralGainPerSecond * imbalance * absl::ToDoubleSeconds(elapsed);
  integral_ = std::clamp(integral_ + change, 0.0, kMaxShare);
  const double wanted = std::clamp(integral_ + kProportionalGain * imbalance, 0.0, kMaxShare);
  const double max_step = kMaxChangePerSecond * absl::ToDoubleSeconds(elapsed);
  share_ = std::clamp(wanted, share_ - max_step, share_ + max_step);
}

bool spill_control::TakeLogDue(absl::Time now) {
  const double change = share_ - logged_share_;
  if (change <= kLoggedChange && change >= -kLoggedChange) return false;
  if (now >= logged_at_ && now - logged_at_ < kLogInterval) return false;
  logged_share_ = share_;
  logged_at_ = now;
  return true;
}

}  // namespace teaseljunction
