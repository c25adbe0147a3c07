#include "admission/internal/level_control.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace teaseljunction {
namespace {

constexpr double kOpenLevel = kPriorityCount * kCohortCount;
// Age of the last step above which nothing is known about the load.
constexpr absl::Duration kStaleAfter = absl::Seconds(1);
constexpr absl::Duration kForgetAccountAfter = absl::Seconds(10);
// Time after the last standing queue for which a priority may be cut, and the admitted rate holds.
constexpr absl::Duration kOverloadMemory = absl::Seconds(1);
// Critical calls are cut only after a long standing queue of their own, so that a burst or a
// concurrency limit that still grows does not refuse them.
constexpr absl::Duration kCriticalStanding = absl::Milliseconds(500);
constexpr double kSmoothing = 0.2;
// Decrease per step of an offered rate that cannot be observed.
constexpr double kUnseenDecay = 0.97;
// Visible cohorts below which the estimate of an offered rate is only noise.
constexpr double kMinVisible = 4;
constexpr double kDecrease = 0.97;
constexpr double kLeastOfCapacity = 0.9;
constexpr double kTargetUtilization = 0.98;
constexpr double kSlowIncrease = 1.01;
constexpr double kMaxIncrease = 2;
// An account is cut only when it is clearly over its fair part, since estimates are noisy.
constexpr double kFairTolerance = 1.2;
// Cohorts by which a level rises in one step: at least this many and this part of those that it
// admits, and with an idle target more. The whole range is open after about half a second.
constexpr double kRise = 8;
constexpr double kRisePart = 0.5;
constexpr double kIdleRise = 64;
constexpr double kIdleUtilization = 0.5;

overload_level ToLevel(double level) {
  const auto whole = static_cast<int>(std::clamp(level, 0.0, kOpenLevel));
  const int priority = std::min(whole / kCohortCount, kPriorityCount - 1);
  return {static_cast<request_priority>(priority),
          static_cast<uint8_t>(whole - priority * kCohortCount)};
}

// Returns how many cohorts of a priority a level admits.
double Visible(double level, size_t priority) {
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

level_control::position level_control::HighestLevel() const {
  position highest = 0;
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
    return now - account.second.last_arrival > kForgetAccountAfter;
  });
  for (auto& [name, state] : accounts_) UpdateOffered(state, seconds);
  UpdateStanding(sample, now);
  UpdateRate(sample, seconds, now);
  MoveLevels(sample, now);
}

void level_control::UpdateOffered(account_state& account, double seconds) {
  for (size_t p = 0; p < kPriorityCount; ++p) {
    const double visible = limited_ ? Visible(account.level, p) : kCohortCount;
    double& offered = account.offered[p];
    if (visible < 1 && account.arrived[p] == 0) {
      offered *= kUnseenDecay;
      continue;
    }
    const double whole =
        account.admitted[p] * kCohortCount / std::max(visible, kMinVisible) / seconds;
    const double sample = std::max(whole, account.arrived[p] / seconds);
    offered += kSmoothing * (sample - offered);
  }
  account.arrived = {};
  account.admitted = {};
}

void level_control::UpdateStanding(const load_sample& sample, absl::Time now) {
  for (size_t p = 0; p < kPriorityCount; ++p) {
    if (!sample.standing[p]) {
      standing_since_[p] = now;
      continue;
    }
    const bool critical = p == static_cast<size_t>(request_priority::kCritical);
    if (critical && now - standing_since_[p] < kCriticalStanding) continue;
    last_standing_[p] = now;
  }
}

void level_control::UpdateRate(const load_sample& sample, double seconds, absl::Time now) {
  const double finished = finished_ / seconds;
  finished_ = 0;
  const bool overload = std::any_of(sample.standing.begin(), sample.standing.end(),
                                    [](bool standing) { return standing; });
  if (overload || sample.utilization >= kTargetUtilization) {
    capacity_ = capacity_ == 0 ? finished : capacity_ + kSmoothing * (finished - capacity_);
  }
  if (overload) {
    last_overload_ = now;
    const double decreased = limited_ ? admitted_rate_ * kDecrease : capacity_;
    limited_ = true;
    admitted_rate_ = std::clamp(decreased, kLeastOfCapacity * capacity_, capacity_);
    return;
  }
  if (!limited_) return;
  RaiseRate(sample, seconds);
  const bool all_open = std::all_of(accounts_.begin(), accounts_.end(), [](const auto& account) {
    return account.second.level >= kOpenLevel;
  });
  if (all_open && now - last_overload_ > kOverloadMemory) limited_ = false;
}

void level_control::RaiseRate(const load_sample& sample, double seconds) {
  const double wanted = kTargetUtilization / std::max(sample.utilization, 0.01);
  // The utilization shows an increase only after a service time.
  const double service_time = std::max(absl::ToDoubleSeconds(sample.mean_service_time), seconds);
  const double increase = (std::min(wanted, kMaxIncrease) - 1) * seconds / service_time;
  admitted_rate_ = std::max(admitted_rate_, 1.0) * std::max(kSlowIncrease, 1 + increase);
}

level_control::position level_control::Floor(absl::Time now) const {
  for (size_t p = 0; p < kPriorityCount; ++p) {
    if (now - last_standing_[p] <= kOverloadMemory) return static_cast<double>(p) * kCohortCount;
  }
  return kOpenLevel;
}

double level_control::FairPart(size_t priority, double rate) const {
  std::vector<double> offered;
  offered.reserve(accounts_.size());
  for (const auto& [name, state] : accounts_) offered.push_back(state.offered[priority]);
  std::sort(offered.begin(), offered.end());
  for (size_t i = 0; i < offered.size(); ++i) {
    const double part = rate / static_cast<double>(offered.size() - i);
    if (offered[i] >= part) return part;
    rate -= offered[i];
  }
  return rate;
}

void level_control::MoveLevels(const load_sample& sample, absl::Time now) {
  if (!limited_) return;
  size_t marginal = 0;
  double rest = admitted_rate_;
  for (; marginal < kPriorityCount; ++marginal) {
    double total = 0;
    for (const auto& [name, state] : accounts_) total += state.offered[marginal];
    if (total > rest) break;
    rest -= total;
  }
  const fair_division division = Divide(marginal, rest);
  const position floor = Floor(now);
  const bool idle = sample.utilization < kIdleUtilization;
  for (auto& [name, state] : accounts_) {
    position wanted = static_cast<double>(marginal) * kCohortCount;
    if (marginal < kPriorityCount) {
      const double offered = state.offered[marginal];
      const bool within = offered <= division.protected_rate;
      wanted += kCohortCount * (within ? 1 : std::min(1.0, division.excess_part / offered));
    }
    wanted = std::max(wanted, floor);
    const double rise = idle ? kIdleRise : kRise + kRisePart * std::fmod(state.level, kCohortCount);
    state.level = std::min({wanted, state.level + rise, kOpenLevel});
  }
}

level_control::fair_division level_control::Divide(size_t priority, double rate) const {
  if (priority >= kPriorityCount) return {};
  // The control of the admitted rate must not cut accounts within their part of the capacity.
  const double whole = rate + std::max(0.0, capacity_ - admitted_rate_);
  fair_division division;
  division.protected_rate = FairPart(priority, whole) * kFairTolerance;
  size_t in_excess = 0;
  for (const auto& [name, state] : accounts_) {
    const double offered = state.offered[priority];
    if (offered <= division.protected_rate) rate -= offered;
    if (offered > division.protected_rate) ++in_excess;
  }
  division.excess_part = std::max(0.0, rate) / static_cast<double>(std::max<size_t>(in_excess, 1));
  return division;
}

}  // namespace teaseljunction
