#include "admission/internal/level_control.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace teaseljunction {
namespace {

// Level that admits every call.
constexpr double kOpenLevel = kPriorityCount * kCohortCount;
// Age of the last step from which on the load counts as unknown.
constexpr absl::Duration kStaleAfter = absl::Seconds(1);
// Time after its last arrival for which an account is tracked.
constexpr absl::Duration kAccountRetention = absl::Seconds(10);
// Time after the last standing queue during which a priority may still be cut and the admitted rate
// still applies.
constexpr absl::Duration kOverloadHold = absl::Seconds(1);
// Critical calls are cut only after they have had a standing queue for this long, so that neither a
// burst nor a concurrency limit that is still growing causes refusals.
constexpr absl::Duration kMinCriticalStanding = absl::Milliseconds(500);
// Weight of a new sample of an offered rate or of the capacity.
constexpr double kSampleWeight = 0.2;
// Factor per step of an offered rate that cannot be observed.
constexpr double kUnobservedDecay = 0.97;
// An offered rate is extrapolated as if at least this many cohorts were visible, since fewer give
// only noise.
constexpr double kMinVisibleCohorts = 4;
// Factor per step of the admitted rate during overload, and its lowest value as a fraction of the
// capacity.
constexpr double kDecreaseFactor = 0.97;
constexpr double kMinCapacityFraction = 0.9;
constexpr double kTargetUtilization = 0.98;
// Bounds of the increase of the admitted rate without overload: at least the first factor per step,
// at most the second one per service time.
constexpr double kMinIncreaseFactor = 1.01;
constexpr double kMaxIncreaseFactor = 2;
// An account is cut only when it offers more than this multiple of its fair share, since estimates
// are noisy.
constexpr double kFairTolerance = 1.2;
// A level rises per step by a fixed number of cohorts plus a fraction of the cohorts that it admits
// of the marginal priority, and faster while the target is idle. The whole range is open after
// about half a second.
constexpr double kBaseRiseCohorts = 8;
constexpr double kRiseFraction = 0.5;
constexpr double kIdleRiseCohorts = 64;
constexpr double kIdleUtilization = 0.5;

overload_level ToLevel(double level) {
  const auto cohorts = static_cast<int>(std::clamp(level, 0.0, kOpenLevel));
  const int priority = std::min(cohorts / kCohortCount, kPriorityCount - 1);
  return {static_cast<request_priority>(priority),
          static_cast<uint8_t>(cohorts - priority * kCohortCount)};
}

// Returns how many cohorts of a priority the level admits, 0 to kCohortCount.
double VisibleCohorts(double level, size_t priority) {
  const double start = static_cast<double>(priority) * kCohortCount;
  return std::clamp(level - start, 0.0, static_cast<double>(kCohortCount));
}

}  // namespace

level_control::level_control() {
  last_standing_.fill(absl::InfinitePast());
  standing_since_.fill(absl::InfinitePast());
}

void level_control::OnArrival(absl::string_view account, request_priority priority, uint8_t cohort,
                              absl::Time now) {
  const auto [entry, added] = accounts_.try_emplace(account);
  account_state& state = entry->second;
  if (added) state.level = limited_ ? HighestLevel() : kOpenLevel;
  const auto index = static_cast<size_t>(priority);
  ++state.arrived[index];
  if (ToLevel(state.level).Admits(priority, cohort)) ++state.admitted[index];
  state.last_arrival = now;
}

void level_control::Reset() { *this = level_control(); }

bool level_control::Stale(absl::Time now) const { return now - last_step_ > kStaleAfter; }

level_control::level_value level_control::HighestLevel() const {
  level_value highest = 0;
  for (const auto& [name, state] : accounts_) highest = std::max(highest, state.level);
  return highest > 0 ? highest : kOpenLevel;
}

overload_level level_control::Level(absl::Time now) const {
  if (!limited_ || Stale(now)) return {};
  return ToLevel(HighestLevel());
}

overload_level level_control::LevelFor(absl::string_view account, absl::Time now) const {
  if (!limited_ || Stale(now)) return {};
  const auto entry = accounts_.find(account);
  return ToLevel(entry == accounts_.end() ? HighestLevel() : entry->second.level);
}

void level_control::Step(const load_sample& sample, absl::Time now) {
  if (Stale(now)) {
    Reset();
    last_step_ = now;
    standing_since_.fill(now);
    return;
  }
  const double seconds = absl::ToDoubleSeconds(now - last_step_);
  last_step_ = now;
  if (seconds <= 0) return;
  absl::erase_if(accounts_, [now](const auto& account) {
    return now - account.second.last_arrival > kAccountRetention;
  });
  for (auto& [name, state] : accounts_) UpdateOffered(state, seconds);
  UpdateStanding(sample, now);
  UpdateRate(sample, seconds, now);
  UpdateLevels(sample, now);
}

void level_control::UpdateOffered(account_state& account, double seconds) {
  for (size_t p = 0; p < kPriorityCount; ++p) {
    const double visible = limited_ ? VisibleCohorts(account.level, p) : kCohortCount;
    double& offered = account.offered[p];
    if (visible < 1 && account.arrived[p] == 0) {
      offered *= kUnobservedDecay;
      continue;
    }
    const double extrapolated =
        account.admitted[p] * kCohortCount / std::max(visible, kMinVisibleCohorts) / seconds;
    const double sample = std::max(extrapolated, account.arrived[p] / seconds);
    offered += kSampleWeight * (sample - offered);
  }
  account.arrived = {};
  account.admitted = {};
}

void level_control::UpdateStanding(const load_sample& sample, absl::Time now) {
  for (size_t p = 0; p < kPriorityCount; ++p) {
    if (!sample.standing_queue[p]) {
      standing_since_[p] = now;
      continue;
    }
    const bool critical = p == static_cast<size_t>(request_priority::kCritical);
    if (critical && now - standing_since_[p] < kMinCriticalStanding) continue;
    last_standing_[p] = now;
  }
}

void level_control::UpdateRate(const load_sample& sample, double seconds, absl::Time now) {
  const double finished = finished_ / seconds;
  finished_ = 0;
  const bool overload = std::any_of(sample.standing_queue.begin(), sample.standing_queue.end(),
                                    [](bool standing) { return standing; });
  if (overload || sample.utilization >= kTargetUtilization) {
    capacity_ = capacity_ == 0 ? finished : capacity_ + kSampleWeight * (finished - capacity_);
  }
  if (overload) {
    last_overload_ = now;
    const double decreased = limited_ ? admitted_rate_ * kDecreaseFactor : capacity_;
    limited_ = true;
    admitted_rate_ = std::clamp(decreased, kMinCapacityFraction * capacity_, capacity_);
    return;
  }
  if (!limited_) return;
  RaiseRate(sample, seconds);
  const bool all_open = std::all_of(accounts_.begin(), accounts_.end(), [](const auto& account) {
    return account.second.level >= kOpenLevel;
  });
  if (all_open && now - last_overload_ > kOverloadHold) limited_ = false;
}

void level_control::RaiseRate(const load_sample& sample, double seconds) {
  const double wanted = kTargetUtilization / std::max(sample.utilization, 0.01);
  // The utilization reflects an increase only after a service time.
  const double service_time = std::max(absl::ToDoubleSeconds(sample.mean_service_time), seconds);
  const double increase = (std::min(wanted, kMaxIncreaseFactor) - 1) * seconds / service_time;
  admitted_rate_ = std::max(admitted_rate_, 1.0) * std::max(kMinIncreaseFactor, 1 + increase);
}

level_control::level_value level_control::LevelFloor(absl::Time now) const {
  for (size_t p = 0; p < kPriorityCount; ++p) {
    if (now - last_standing_[p] <= kOverloadHold) return static_cast<double>(p) * kCohortCount;
  }
  return kOpenLevel;
}

double level_control::FairShare(size_t priority, double rate) const {
  std::vector<double> offered;
  offered.reserve(accounts_.size());
  for (const auto& [name, state] : accounts_) offered.push_back(state.offered[priority]);
  std::sort(offered.begin(), offered.end());
  for (size_t i = 0; i < offered.size(); ++i) {
    const double share = rate / static_cast<double>(offered.size() - i);
    if (offered[i] >= share) return share;
    rate -= offered[i];
  }
  return rate;
}

void level_control::UpdateLevels(const load_sample& sample, absl::Time now) {
  if (!limited_) return;
  // Finds the first priority whose offered calls no longer fit into the admitted rate.
  size_t marginal_priority = 0;
  double remaining_rate = admitted_rate_;
  for (; marginal_priority < kPriorityCount; ++marginal_priority) {
    double total = 0;
    for (const auto& [name, state] : accounts_) total += state.offered[marginal_priority];
    if (total > remaining_rate) break;
    remaining_rate -= total;
  }
  const fair_division division = DivideRate(marginal_priority, remaining_rate);
  const level_value floor = LevelFloor(now);
  const bool idle = sample.utilization < kIdleUtilization;
  for (auto& [name, state] : accounts_) {
    level_value wanted = static_cast<double>(marginal_priority) * kCohortCount;
    if (marginal_priority < kPriorityCount) {
      const double offered = state.offered[marginal_priority];
      const bool is_protected = offered <= division.protected_rate;
      wanted += kCohortCount * (is_protected ? 1 : std::min(1.0, division.excess_share / offered));
    }
    wanted = std::max(wanted, floor);
    const double rise =
        idle ? kIdleRiseCohorts
             : kBaseRiseCohorts + kRiseFraction * std::fmod(state.level, kCohortCount);
    state.level = std::min({wanted, state.level + rise, kOpenLevel});
  }
}

level_control::fair_division level_control::DivideRate(size_t priority, double rate) const {
  if (priority >= kPriorityCount) return {};
  // While the admitted rate is below the capacity, accounts within their fair share of the capacity
  // must not be cut.
  const double protected_total = rate + std::max(0.0, capacity_ - admitted_rate_);
  fair_division division;
  division.protected_rate = FairShare(priority, protected_total) * kFairTolerance;
  size_t accounts_in_excess = 0;
  for (const auto& [name, state] : accounts_) {
    const double offered = state.offered[priority];
    if (offered <= division.protected_rate) rate -= offered;
    if (offered > division.protected_rate) ++accounts_in_excess;
  }
  division.excess_share =
      std::max(0.0, rate) / static_cast<double>(std::max<size_t>(accounts_in_excess, 1));
  return division;
}

}  // namespace teaseljunction
