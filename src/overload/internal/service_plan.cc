#include "overload/internal/service_plan.h"

#include <algorithm>
#include <cmath>

namespace teaseljunction {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(50);
/// Load at which services are kept. It leaves room for bursts of calls.
constexpr double kTargetLoad = 0.85;
/// Below this load a service is not cut unless it was cut within the hold time. Without the hold, a
/// cut would end for as long as it takes new calls to reach the service, which then floods it.
constexpr double kIdleLoad = kTargetLoad / 2;
constexpr absl::Duration kCutHold = absl::Seconds(1);
/// Time constant for averaging the loads reported by individual targets.
constexpr absl::Duration kLoadAveragingTime = absl::Milliseconds(100);
constexpr double kMinLoadWeight = 0.02;
constexpr absl::Duration kLoadExpiry = absl::Seconds(1);
/// Lower loads count as this one, which bounds the share that a false report gives.
constexpr double kMinLoadForShare = 0.3;
/// Steps over which flows are averaged that are compared with the load. Calls reach a service up to
/// some hundred milliseconds after their request was admitted.
constexpr size_t kFlowSteps = 12;
/// Ended requests needed to measure the served flow, and bounds of the steps used for it.
constexpr double kEndedRequests = 10;
constexpr size_t kMinServedSteps = 6;
constexpr size_t kMaxServedSteps = 16;
/// Time constants of the share in seconds: normally, while the service is saturated, and while it
/// is cut although it has room.
constexpr double kShareTime = 1.0;
constexpr double kSaturatedShareTime = 0.15;
constexpr double kRoomShareTime = 0.3;
constexpr double kStartShareTime = 0.3;
constexpr double kRoomLoad = 0.7;
/// Minimum growth of the share per second while the service is idle but cut.
constexpr double kIdleGrowth = 5;
/// Growth of the share per second for each priority that is cut completely. Capacity moves to the
/// entries that have to cut more important requests than others.
constexpr double kGrowthPerPriority = 0.15;
/// Growth per second in the time after the share has become known, and without valid loads.
constexpr double kStartGrowth = 0.5;
constexpr absl::Duration kStartTime = absl::Seconds(4);
/// In this time after the share has become known the flows that define it are still growing. A
/// service below the target load is then not cut, so that a calm start refuses nothing.
constexpr absl::Duration kFirstFlowTime = absl::Seconds(2);
constexpr double kBlindGrowth = 0.25;
/// Part of the share that is held back per unit of load above 1. Drains the queue of calls of up to
/// 100 ms within 500 ms.
constexpr double kDrainPerLoad = 0.2;
constexpr double kMaxDrain = 0.4;
/// Lower bounds of the admitted flow, as a part of the share and in calls per second, so that load
/// reports keep arriving.
constexpr double kMinShare = 0.1;
constexpr double kMinFlow = 2;
/// While the load is not above the target, the offered flow may exceed the limit by this many
/// standard deviations. The margin ends at the second load.
constexpr double kMarginDeviations = 1.5;
constexpr double kNoMarginLoad = 0.95;
/// Windows for the offered flow in steps, and the deviations from the longest one with which a
/// shorter one counts.
constexpr size_t kShortWindows[] = {2, 5, 10, 20, 40};
constexpr double kSignificantDeviations = 2.5;
/// Bounds of the expected time until a request finds room.
constexpr absl::Duration kMinRoomTime = absl::Milliseconds(100);
constexpr absl::Duration kMaxRoomTime = absl::Seconds(5);
constexpr absl::Duration kDrainTime = absl::Milliseconds(500);

}  // namespace

double service_plan::window::Deviation() const { return std::sqrt(variance) / seconds; }

void service_plan::AddOffered(double rank, double calls, absl::Time now) {
  Advance(now);
  step& step_now = steps_[current_];
  step_now.offered[std::min(static_cast<size_t>(rank), kRankCount - 1)] += calls;
  step_now.offered_total += calls;
  step_now.variance += calls * std::abs(calls);
}

void service_plan::AddAdmitted(double calls, absl::Time now) {
  Advance(now);
  steps_[current_].admitted += calls;
}

void service_plan::AddStarted(double rank, double calls, absl::Duration time, absl::Time now) {
  Advance(now);
  const auto steps = static_cast<size_t>(
      std::clamp<double>(std::ceil(absl::FDivDuration(time, kStep)), 1, kStepCount));
  complete_steps_ = std::max(complete_steps_, steps);
  const double calls_per_step = calls / static_cast<double>(steps);
  for (size_t age = 1; age <= steps; ++age) {
    step& past = steps_[(current_ + steps_.size() - age) % steps_.size()];
    past.offered[std::min(static_cast<size_t>(rank), kRankCount - 1)] += calls_per_step;
    past.offered_total += calls_per_step;
    past.admitted += calls_per_step;
    past.expected_flow += calls_per_step / absl::ToDoubleSeconds(kStep);
  }
}

void service_plan::AddEnded(double calls, bool served, absl::Time now) {
  Advance(now);
  ++steps_[current_].ended_requests;
  if (served) steps_[current_].served += calls;
}

void service_plan::RecordLoad(double load, absl::Time now) {
  Advance(now);
  const double elapsed = absl::FDivDuration(now - load_at_, kLoadAveragingTime);
  const double weight = std::clamp(1 - std::exp(-elapsed), kMinLoadWeight, 1.0);
  load_ += weight * (load - load_);
  load_at_ = now;
}

bool service_plan::HasLoad(absl::Time now) const { return now - load_at_ <= kLoadExpiry; }

void service_plan::Advance(absl::Time now) {
  // After the clock was set back, a step starts anew, and the load counts as measured now.
  if (now < step_start_ || step_start_ == absl::InfinitePast()) {
    step_start_ = now;
    load_at_ = std::min(load_at_, now);
    last_cut_at_ = std::min(last_cut_at_, now);
    if (share_ > 0) share_known_since_ = std::min(share_known_since_, now);
  }
  const absl::Duration elapsed = now - step_start_;
  if (elapsed < kStep) return;
  Rotate(now);
  UpdateShare(std::min(1.0, absl::ToDoubleSeconds(elapsed)), now);
  UpdateCut(now);
}

void service_plan::Rotate(absl::Time now) {
  const auto due = static_cast<size_t>(std::min<int64_t>((now - step_start_) / kStep, kStepCount));
  for (size_t i = 0; i < due; ++i) {
    const double expected_flow = steps_[current_].expected_flow;
    current_ = (current_ + 1) % steps_.size();
    steps_[current_] = {};
    steps_[current_].expected_flow = expected_flow;
  }
  complete_steps_ = std::min(kStepCount, complete_steps_ + due);
  step_start_ = due == kStepCount ? now : step_start_ + due * kStep;
}

service_plan::window service_plan::Latest(size_t steps) const {
  window latest;
  latest.steps = std::clamp<size_t>(complete_steps_, 1, steps);
  latest.seconds = static_cast<double>(latest.steps) * absl::ToDoubleSeconds(kStep);
  for (size_t age = 1; age <= latest.steps; ++age) {
    const step& added = StepBefore(age);
    latest.offered += added.offered_total;
    latest.variance += std::max(0.0, added.variance);
    latest.admitted += added.admitted;
    latest.expected_flow += added.expected_flow / static_cast<double>(latest.steps);
    latest.served += added.served;
    latest.ended_requests += added.ended_requests;
  }
  return latest;
}

service_plan::window service_plan::OfferedWindow() const {
  const window longest = Latest(kStepCount);
  for (const size_t steps : kShortWindows) {
    const window shorter = Latest(steps);
    // The deviation that the longest window predicts for the shorter one. The larger of both, since
    // the longest window can be nearly empty after a pause.
    const double predicted = longest.Deviation() * std::sqrt(longest.seconds / shorter.seconds);
    const double deviation = std::max(predicted, shorter.Deviation());
    const double difference = std::abs(shorter.OfferedRate() - longest.OfferedRate());
    if (difference > kSignificantDeviations * deviation) return shorter;
  }
  return longest;
}

double service_plan::ServedRate() const {
  window latest = Latest(kMinServedSteps);
  while (latest.ended_requests < kEndedRequests && latest.steps < kMaxServedSteps &&
         latest.steps < complete_steps_) {
    latest = Latest(latest.steps * 2);
  }
  return latest.served / latest.seconds;
}

double service_plan::ShareSample() const {
  const window latest = Latest(kFlowSteps);
  const double sample = latest.expected_flow / std::max(load_, kMinLoadForShare);
  // A saturated service works at its capacity, and its load grows with the queue.
  return load_ < 1 ? sample : std::max(sample, ServedRate());
}

void service_plan::UpdateShare(double seconds, absl::Time now) {
  const bool cutting = cut_ < kRankCount;
  if (!HasLoad(now)) {
    if (cutting) share_ *= 1 + kBlindGrowth * seconds;
    return;
  }
  const double sample = ShareSample();
  if (share_ == 0) {
    share_ = sample;
    if (share_ > 0) share_known_since_ = now;
    return;
  }
  const bool first = now - share_known_since_ < kFirstFlowTime;
  double time = first ? kStartShareTime : kShareTime;
  if (load_ >= 1) time = kSaturatedShareTime;
  if (cutting && load_ < kRoomLoad) time = kRoomShareTime;
  // An entry without requests learns nothing about its share.
  if (sample > 0) share_ += (1 - std::exp(-seconds / time)) * (sample - share_);
  if (!cutting) return;
  double growth = Growth();
  if (now - share_known_since_ < kStartTime && load_ < 1) growth = kStartGrowth;
  if (load_ < kIdleLoad) growth = kIdleGrowth;
  share_ *= 1 + growth * seconds;
}

void service_plan::UpdateCut(absl::Time now) {
  cut_ = kRankCount;
  const window offered = OfferedWindow();
  steps_[current_].expected_flow = offered.OfferedRate();
  if (share_ == 0) return;
  const bool held = now - last_cut_at_ <= kCutHold;
  if (HasLoad(now) ? load_ < kIdleLoad && !held : !held) return;
  if (now - share_known_since_ < kFirstFlowTime && load_ < kTargetLoad) return;
  const double drain = std::clamp(kDrainPerLoad * (load_ - 1), 0.0, kMaxDrain);
  const double margin =
      std::clamp((kNoMarginLoad - load_) / (kNoMarginLoad - kTargetLoad), 0.0, 1.0);
  limit_ = std::max({share_ * (kTargetLoad - drain), share_ * kMinShare, kMinFlow});
  const double limit = limit_ + margin * kMarginDeviations * offered.Deviation();
  CutAt(limit, offered);
  if (cut_ == kRankCount) return;
  last_cut_at_ = now;
  steps_[current_].expected_flow = limit;
}

double service_plan::Growth() const { return kGrowthPerPriority * (kPriorityCount - Cut()); }

void service_plan::CutAt(double limit, const window& offered) {
  offered_up_to_ = {};
  for (size_t age = 1; age <= offered.steps; ++age) {
    const step& added = StepBefore(age);
    for (size_t rank = 0; rank < kRankCount; ++rank) offered_up_to_[rank] += added.offered[rank];
  }
  double total = 0;
  for (size_t rank = 0; rank < kRankCount; ++rank) {
    const double rate = std::max(0.0, offered_up_to_[rank]) / offered.seconds;
    if (total <= limit && total + rate > limit) {
      cut_ = static_cast<double>(rank) + (limit - total) / rate;
    }
    total += rate;
    offered_up_to_[rank] = total;
  }
}

absl::Duration service_plan::RoomExpectedIn(double rank) const {
  const double before = offered_up_to_[std::min(static_cast<size_t>(rank), kRankCount - 1)];
  // Each second, requests of up to this rank need this many seconds of the admissible flow.
  const double needed = limit_ > 0 ? before / limit_ : 1;
  const absl::Duration drain = load_ > 1 ? kDrainTime : absl::ZeroDuration();
  return std::clamp(absl::Seconds(std::max(0.0, needed - 1)) + drain, kMinRoomTime, kMaxRoomTime);
}

plan_status service_plan::Status(absl::Time now) const {
  const window latest = Latest(kFlowSteps);
  plan_status status;
  status.load = load_;
  status.load_age = load_at_ == absl::InfinitePast() ? absl::InfiniteDuration() : now - load_at_;
  status.share = share_;
  status.offered = latest.OfferedRate();
  status.admitted = latest.admitted / latest.seconds;
  status.cut = cut_ / kPartsPerPriority;
  return status;
}

}  // namespace teaseljunction
