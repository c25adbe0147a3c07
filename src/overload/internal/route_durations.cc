#include "overload/route_durations.h"

#include <algorithm>
#include <vector>

namespace teaseljunction {
namespace {

/// Calls that ended longer ago do not count.
constexpr absl::Duration kMemory = absl::Seconds(10);
constexpr double kQuantile = 0.9;
/// Expected duration of a call that outlasts the known ones, as a multiple of its age.
constexpr int kDurationPerAge = 2;

/// Returns the position of the quantile in `count` sorted values.
size_t QuantilePosition(size_t count) {
  return std::min(static_cast<size_t>(kQuantile * static_cast<double>(count)), count - 1);
}

}  // namespace

void route_durations::RecordStart(absl::string_view route, absl::Time started_at) {
  routes_[route].running.insert(started_at);
}

void route_durations::RecordEnd(absl::string_view route, absl::Time started_at, bool counts,
                                absl::Time now) {
  const auto found = routes_.find(route);
  if (found == routes_.end()) return;
  route_state& state = found->second;
  const auto running = state.running.find(started_at);
  if (running != state.running.end()) state.running.erase(running);
  if (!counts) return;
  state.ended[state.next_ended] = {now, now - started_at};
  state.next_ended = (state.next_ended + 1) % kMaxEndedCalls;
}

absl::Duration route_durations::Expected(absl::string_view route, absl::Time now) const {
  const auto found = routes_.find(route);
  if (found == routes_.end()) return absl::ZeroDuration();
  const route_state& state = found->second;
  std::vector<absl::Duration> ended;
  for (const ended_call& call : state.ended) {
    if (now - call.ended_at <= kMemory) ended.push_back(call.duration);
  }
  absl::Duration expected;
  if (!ended.empty()) {
    std::sort(ended.begin(), ended.end());
    expected = ended[QuantilePosition(ended.size())];
  }
  if (state.running.empty()) return expected;
  // Sorted by start, so the oldest calls come first.
  const size_t younger = QuantilePosition(state.running.size());
  const absl::Duration age =
      now - *std::next(state.running.begin(),
                       static_cast<std::ptrdiff_t>(state.running.size() - 1 - younger));
  return age > expected ? age * kDurationPerAge : expected;
}

}  // namespace teaseljunction
