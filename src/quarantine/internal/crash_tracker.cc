#include "quarantine/crash_tracker.h"

#include <algorithm>

#include "common/log.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kObservationWindow = absl::Minutes(10);
constexpr size_t kMaxSuspects = 10000;
constexpr size_t kTargetsToQuarantine = 2;
constexpr size_t kMaxTargetsToQuarantine = 8;
// Targets remembered per suspect. More would not change the decision.
constexpr size_t kMaxObservations = kMaxTargetsToQuarantine;

template <class Observations>
void DropExpired(Observations& observations, absl::Time now) {
  std::erase_if(observations,
                [now](const auto& entry) { return now - entry.time > kObservationWindow; });
}

// Keeps the latest observation at each target, so that a repeated report counts once.
template <class Observations>
void AddObservation(Observations& observations, const std::string& target, absl::Time time) {
  for (auto& known : observations) {
    if (known.target != target) continue;
    known.time = std::max(known.time, time);
    return;
  }
  if (observations.size() < kMaxObservations) observations.push_back({target, time});
}

}  // namespace

void crash_tracker::Expire(absl::Time now) {
  while (!suspects_.empty() && now - suspects_.front().updated_at > kObservationWindow) {
    by_fingerprint_.erase(suspects_.front().fingerprint);
    suspects_.pop_front();
  }
}

crash_tracker::suspect& crash_tracker::FindOrAdd(const std::string& fingerprint, absl::Time now) {
  const auto found = by_fingerprint_.find(fingerprint);
  if (found != by_fingerprint_.end()) {
    suspects_.splice(suspects_.end(), suspects_, found->second);
  } else {
    if (suspects_.size() >= kMaxSuspects) {
      by_fingerprint_.erase(suspects_.front().fingerprint);
      suspects_.pop_front();
    }
    suspects_.emplace_back();
    suspects_.back().fingerprint = fingerprint;
    by_fingerprint_[fingerprint] = std::prev(suspects_.end());
  }
  suspects_.back().updated_at = now;
  return suspects_.back();
}

size_t crash_tracker::RequiredTargets(const suspect& entry) {
  size_t later_completions = 0;
  for (const observation& completion : entry.completions) {
    if (completion.time > entry.first_crash) ++later_completions;
  }
  const size_t earlier_increment = later_completions < entry.completions.size() ? 1 : 0;
  return std::min(kTargetsToQuarantine + earlier_increment + later_completions,
                  kMaxTargetsToQuarantine);
}

absl::optional<std::string> crash_tracker::Report(const crash_report& report, absl::Time now) {
  Expire(now);
  const absl::Time time = now - std::max(report.age, absl::ZeroDuration());
  suspect& entry = FindOrAdd(report.fingerprint, now);
  DropExpired(entry.crashes, now);
  DropExpired(entry.completions, now);
  if (now - entry.first_crash > kObservationWindow) entry.first_crash = absl::InfiniteFuture();
  if (report.completed) {
    AddObservation(entry.completions, report.target, time);
    std::erase_if(entry.crashes, [time](const observation& crash) { return crash.time < time; });
    return absl::nullopt;
  }
  entry.first_crash = std::min(entry.first_crash, time);
  AddObservation(entry.crashes, report.target, time);
  if (entry.crashes.size() < RequiredTargets(entry)) return absl::nullopt;
  LOG(WARNING) << "quarantine: request " << report.fingerprint << " was in flight in crashes of "
               << entry.crashes.size() << " targets";
  return report.fingerprint;
}

std::vector<std::string> crash_tracker::Suspects(absl::Time now) {
  Expire(now);
  std::vector<std::string> fingerprints;
  for (const suspect& entry : suspects_) {
    if (!entry.crashes.empty()) fingerprints.push_back(entry.fingerprint);
  }
  return fingerprints;
}

}  // namespace teaseljunction
