#include "quarantine/suspect_tracker.h"

#include <utility>

namespace teaseljunction {
namespace {

constexpr absl::Duration kGenerationPeriod = absl::Minutes(5);
constexpr size_t kMaxGenerationSize = 8192;
constexpr size_t kMaxSuspects = 10000;

}  // namespace

suspect_tracker::suspect_tracker(std::string daemon_id) : daemon_id_(std::move(daemon_id)) {}

void suspect_tracker::OnStarted(absl::string_view fingerprint, absl::Time now) {
  Rotate(now);
  ++in_flight_[fingerprint].running;
}

void suspect_tracker::OnFinished(absl::string_view fingerprint, bool completed, absl::Time now) {
  Rotate(now);
  if (completed) {
    recent_[fingerprint] = now;
    if (suspects_.contains(fingerprint)) unreported_[fingerprint] = now;
  }
  const auto found = in_flight_.find(fingerprint);
  if (found == in_flight_.end()) return;
  in_flight_count& count = found->second;
  if (!completed && count.lost > 0) {
    --count.lost;
  } else if (count.running > 0) {
    --count.running;
  }
  if (count.running == 0 && count.lost == 0) in_flight_.erase(found);
}

void suspect_tracker::Rotate(absl::Time now) {
  const bool expired = now - rotated_at_ >= kGenerationPeriod;
  if (!expired && recent_.size() < kMaxGenerationSize) return;
  // After a long time without a call, both generations are too old.
  if (now - rotated_at_ >= 2 * kGenerationPeriod) recent_.clear();
  older_ = std::move(recent_);
  recent_.clear();
  rotated_at_ = now;
}

absl::optional<absl::Time> suspect_tracker::LastCompletion(absl::string_view fingerprint) const {
  for (const completion_times* generation : {&recent_, &older_}) {
    const auto found = generation->find(fingerprint);
    if (found != generation->end()) return found->second;
  }
  return absl::nullopt;
}

std::vector<crash_report> suspect_tracker::OnTargetLost(absl::Time now) {
  Rotate(now);
  // Requests of the previous crash whose end was not recorded by now are no longer expected to end.
  absl::erase_if(in_flight_, [](const auto& entry) { return entry.second.running == 0; });
  if (suspects_.size() > kMaxSuspects) suspects_.clear();
  std::vector<crash_report> reports;
  for (auto& [fingerprint, count] : in_flight_) {
    const auto completion = LastCompletion(fingerprint);
    if (completion) reports.push_back({fingerprint, daemon_id_, true, now - *completion});
    reports.push_back({fingerprint, daemon_id_, false, absl::ZeroDuration()});
    suspects_[fingerprint] = completion.value_or(absl::InfinitePast());
    count.lost = count.running;
    count.running = 0;
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
    if (completion && *completion > reported) unreported_[fingerprint] = *completion;
  }
}

std::vector<crash_report> suspect_tracker::TakeCompletionReports(absl::Time now) {
  std::vector<crash_report> reports;
  for (const auto& [fingerprint, time] : unreported_) {
    reports.push_back({fingerprint, daemon_id_, true, now - time});
    const auto known = suspects_.find(fingerprint);
    if (known != suspects_.end()) known->second = time;
  }
  unreported_.clear();
  return reports;
}

}  // namespace teaseljunction
