#include "quarantine/suspect_tracker.h"

#include <utility>

namespace teaseljunction {
namespace {

constexpr absl::Duration kGenerationTime = absl::Minutes(5);
constexpr size_t kGenerationLimit = 8192;
constexpr size_t kSuspectLimit = 10000;

}  // namespace

suspect_tracker::suspect_tracker(std::string daemon_id) : daemon_id_(std::move(daemon_id)) {}

void suspect_tracker::Started(absl::string_view fingerprint, absl::Time now) {
  Rotate(now);
  ++flights_[fingerprint].running;
}

void suspect_tracker::Finished(absl::string_view fingerprint, bool completed, absl::Time now) {
  Rotate(now);
  if (completed) {
    recent_[fingerprint] = now;
    if (suspects_.contains(fingerprint)) pending_[fingerprint] = now;
  }
  const auto found = flights_.find(fingerprint);
  if (found == flights_.end()) return;
  flight& state = found->second;
  if (!completed && state.lost > 0) {
    --state.lost;
  } else if (state.running > 0) {
    --state.running;
  }
  if (state.running == 0 && state.lost == 0) flights_.erase(found);
}

void suspect_tracker::Rotate(absl::Time now) {
  const bool aged = now - rotated_ >= kGenerationTime;
  if (!aged && recent_.size() < kGenerationLimit) return;
  // After a long pause both generations are too old.
  if (now - rotated_ >= 2 * kGenerationTime) recent_.clear();
  older_ = std::move(recent_);
  recent_.clear();
  rotated_ = now;
}

absl::optional<absl::Time> suspect_tracker::LastCompletion(absl::string_view fingerprint) const {
  for (const completion_times* generation : {&recent_, &older_}) {
    const auto found = generation->find(fingerprint);
    if (found != generation->end()) return found->second;
  }
  return absl::nullopt;
}

std::vector<crash_report> suspect_tracker::TargetLost(absl::Time now) {
  Rotate(now);
  // Ends that were not recorded since the previous crash are not expected any more.
  absl::erase_if(flights_, [](const auto& item) { return item.second.running == 0; });
  if (suspects_.size() > kSuspectLimit) suspects_.clear();
  std::vector<crash_report> reports;
  for (auto& [fingerprint, state] : flights_) {
    const auto completion = LastCompletion(fingerprint);
    if (completion) reports.push_back({fingerprint, daemon_id_, true, now - *completion});
    reports.push_back({fingerprint, daemon_id_, false, absl::ZeroDuration()});
    suspects_[fingerprint] = completion.value_or(absl::InfinitePast());
    state.lost = state.running;
    state.running = 0;
  }
  return reports;
}

void suspect_tracker::SetSuspects(absl::Span<const std::string> fingerprints, absl::Time now) {
  Rotate(now);
  const completion_times previous = std::exchange(suspects_, {});
  for (const std::string& fingerprint : fingerprints) {
    const auto known = previous.find(fingerprint);
    const absl::Time reported = known == previous.end() ? absl::InfinitePast() : known->second;
    suspects_[fingerprint] = reported;
    const auto completion = LastCompletion(fingerprint);
    if (completion && *completion > reported) pending_[fingerprint] = *completion;
  }
}

std::vector<crash_report> suspect_tracker::TakeCompleted(absl::Time now) {
  std::vector<crash_report> reports;
  for (const auto& [fingerprint, time] : pending_) {
    reports.push_back({fingerprint, daemon_id_, true, now - time});
    const auto known = suspects_.find(fingerprint);
    if (known != suspects_.end()) known->second = time;
  }
  pending_.clear();
  return reports;
}

}  // namespace teaseljunction
