#include "quarantine/crash_tracker.h"

#include <algorithm>

#include "common/log.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kWindow = absl::Minutes(10);
constexpr size_t kSuspectLimit = 10000;
constexpr size_t kTargetsToQuarantine = 2;
constexpr size_t kMaxTargetsToQuarantine = 8;
/// Targets remembered per suspect; more change nothing.
constexpr size_t kSightingLimit = kMaxTargetsToQuarantine;

template <class Sightings>
void DropOld(Sightings& sightings, absl::Time now) {
  std::erase_if(sightings, [now](const auto& item) { return now - item.time > kWindow; });
}

// Records one sighting per target, so that a repeated report counts once.
template <class Sightings>
void AddSighting(Sightings& sightings, const std::string& target, absl::Time time) {
  for (auto& known : sightings) {
    if (known.target != target) continue;
    known.time = std::max(known.time, time);
    return;
  }
  if (sightings.size() < kSightingLimit) sightings.push_back({target, time});
}

}  // namespace

void crash_tracker::Expire(absl::Time now) {
  while (!suspects_.empty() && now - suspects_.front().updated > kWindow) {
    by_fingerprint_.erase(suspects_.front().fingerprint);
    suspects_.pop_front();
  }
}

crash_tracker::suspect& crash_tracker::Touch(const std::string& fingerprint, absl::Time now) {
  const auto found = by_fingerprint_.find(fingerprint);
  if (found != by_fingerprint_.end()) {
    suspects_.splice(suspects_.end(), suspects_, found->second);
  } else {
    if (suspects_.size() >= kSuspectLimit) {
      by_fingerprint_.erase(suspects_.front().fingerprint);
      suspects_.pop_front();
    }
    suspects_.emplace_back();
    suspects_.back().fingerprint = fingerprint;
    by_fingerprint_[fingerprint] = std::prev(suspects_.end());
  }
  suspects_.back().updated = now;
  return suspects_.back();
}

size_t crash_tracker::TargetsNeeded(const suspect& entry) {
  size_t later = 0;
  for (const sighting& completion : entry.completions) {
    if (completion.time > entry.first_crash) ++later;
  }
  const size_t earlier = later < entry.completions.size() ? 1 : 0;
  return std::min(kTargetsToQuarantine + earlier + later, kMaxTargetsToQuarantine);
}

absl::optional<std::string> crash_tracker::Report(const crash_report& report, absl::Time now) {
  Expire(now);
  const absl::Time time = now - std::max(report.age, absl::ZeroDuration());
  suspect& entry = Touch(report.fingerprint, now);
  DropOld(entry.crashes, now);
  DropOld(entry.completions, now);
  if (now - entry.first_crash > kWindow) entry.first_crash = absl::InfiniteFuture();
  if (report.completed) {
    AddSighting(entry.completions, report.target, time);
    std::erase_if(entry.crashes, [time](const sighting& crash) { return crash.time < time; });
    return absl::nullopt;
  }
  entry.first_crash = std::min(entry.first_crash, time);
  AddSighting(entry.crashes, report.target, time);
  if (entry.crashes.size() < TargetsNeeded(entry)) return absl::nullopt;
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
