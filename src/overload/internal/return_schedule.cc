#include "overload/return_schedule.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/hash/hash.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kWindow = absl::Milliseconds(100);
/// The schedule reaches 4.8 s ahead, a third of a timeout of 14 s.
constexpr int64_t kMaxWindowsAhead = 48;
/// The bound applies to the sum over this many windows on each side as well, because a daemon that
/// admits 5 requests per second may promise only a quarter of one in each window.
constexpr int64_t kNeighbours = 5;
/// Part of the admitted flow that may be promised. Promises can still be kept when the capacity
/// halves between the promise and the return.
constexpr double kMaxPromisedFraction = 0.5;
/// Callers wait for a third of the time that they have left.
constexpr int kWaitDivisor = 3;
/// The caller has less time left than this daemon assumes, by the latency of the request and of the
/// refusal.
constexpr absl::Duration kCallerLatencyMargin = absl::Milliseconds(30);
/// Returns this much too early are on time; timers of callers are not exact.
constexpr absl::Duration kEarlyTolerance = absl::Milliseconds(5);
/// A promise stays open for this time, which covers the latency of the refusal and of the return,
/// a new connection, and the wait for a busy daemon.
constexpr absl::Duration kRedeemPeriod = absl::Milliseconds(250);
/// Attempts whose deadlines differ by no more belong to the same request. Covers the variation of
/// the latency from the caller.
constexpr absl::Duration kDeadlineTolerance = absl::Milliseconds(50);
/// Returns before their time that one promise answers if the caller states no deadline. Bounds the
/// number of other, equal requests that are mistaken for returns.
constexpr uint32_t kMaxEarlyReturnsWithoutDeadline = 8;
/// Calls of several threads may come out of order by this much. A longer step back is a change of
/// the clock.
constexpr absl::Duration kMaxReordering = absl::Milliseconds(20);
/// Fraction of the golden ratio; its multiples are spread evenly over a window.
constexpr double kSpread = 0.6180339887498949;

int64_t WindowOf(absl::Time time) {
  return absl::ToInt64Milliseconds(time - absl::UnixEpoch()) / absl::ToInt64Milliseconds(kWindow);
}

absl::Time StartOf(int64_t index) { return absl::UnixEpoch() + index * kWindow; }

bool IsSameDeadline(absl::Time first, absl::Time second) {
  return absl::AbsDuration(first - second) <= kDeadlineTolerance;
}

size_t IndexOf(request_priority priority) { return static_cast<size_t>(priority); }

// Returns the counts of the window with this index. It takes the place of an earlier one.
template <class Ring>
auto& CountsOf(Ring& ring, int64_t index) {
  auto& found = ring[static_cast<size_t>(index) % ring.size()];
  if (found.index != index) found = {index, {}};
  return found.counts;
}

}  // namespace

return_schedule::return_schedule(size_t max_promises) : max_promises_(max_promises) {}

absl::Time return_schedule::Advance(absl::Time now) {
  const absl::Time adjusted = now + clock_offset_;
  if (adjusted < now_ - kMaxReordering) clock_offset_ += now_ - adjusted;
  now_ = std::max(now_, adjusted);
  return now_;
}

void return_schedule::RecordAdmitted(request_priority priority, absl::Time now) {
  const int64_t index = WindowOf(Advance(now));
  if (!first_admitted_) first_admitted_ = index;
  ++CountsOf(admitted_, index)[IndexOf(priority)];
}

double return_schedule::FlowPerWindow(request_priority priority, absl::Time now) const {
  if (!first_admitted_) return 0;
  // The current window is not complete and is left out.
  const int64_t current = WindowOf(now);
  uint32_t sum = 0;
  for (const window& counted : admitted_) {
    const int64_t age = current - counted.index;
    if (age < 1 || age > static_cast<int64_t>(kFlowWindowCount)) continue;
    sum += counted.counts[IndexOf(priority)];
  }
  const int64_t known = current - *first_admitted_;
  const auto max_count = static_cast<int64_t>(kFlowWindowCount);
  return static_cast<double>(sum) / static_cast<double>(std::clamp<int64_t>(known, 1, max_count));
}

bool return_schedule::TakePlace(request_priority priority, absl::Time due, double max_per_window) {
  const int64_t index = WindowOf(due);
  uint32_t sum = 0;
  for (int64_t near = index - kNeighbours; near <= index + kNeighbours; ++near) {
    sum += CountsOf(promised_, near)[IndexOf(priority)];
  }
  uint32_t& promised = CountsOf(promised_, index)[IndexOf(priority)];
  if (promised >= std::ceil(max_per_window)) return false;
  if (sum + 1 > max_per_window * (2 * kNeighbours + 1)) return false;
  ++promised;
  return true;
}

absl::optional<absl::Duration> return_schedule::FindDelay(const refused_request& request,
                                                          absl::Time now) {
  const absl::Duration longest = (request.time_left - kCallerLatencyMargin) / kWaitDivisor;
  const absl::Duration earliest = std::max(request.room_expected_in, request.resolution);
  const double max_per_window = FlowPerWindow(request.priority, now) * kMaxPromisedFraction;
  if (earliest > longest || max_per_window <= 0) return absl::nullopt;
  const int64_t end = WindowOf(now) + kMaxWindowsAhead;
  for (int64_t index = WindowOf(now + earliest); index < end; ++index) {
    const uint32_t promised = CountsOf(promised_, index)[IndexOf(request.priority)];
    const absl::Duration offset = kWindow * std::fmod(promised * kSpread, 1.0);
    const absl::Duration delay =
        absl::Ceil(std::max(StartOf(index) + offset - now, earliest), request.resolution);
    if (delay > longest || WindowOf(now + delay) >= end) return absl::nullopt;
    if (TakePlace(request.priority, now + delay, max_per_window)) return delay;
  }
  return absl::nullopt;
}

return_delay return_schedule::Schedule(const refused_request& request, absl::Time now) {
  now = Advance(now);
  RemoveExpired(now);
  if (const auto delay = FindDelay(request, now)) {
    Add(request, now + *delay, now);
    return {*delay, true};
  }
  ++counts_.withheld;
  // Half of the time left is more than the caller waits for.
  const absl::Duration delay = std::max(request.time_left / 2, request.resolution);
  return {std::max(delay, std::min(request.room_expected_in, request.time_left)), false};
}

void return_schedule::Add(const refused_request& request, absl::Time due, absl::Time now) {
  while (!promises_.empty() && promises_.size() >= max_promises_) {
    Remove(promise_order(promises_.begin()->first));
    ++counts_.evicted;
  }
  const uint64_t fingerprint = absl::HashOf(request.fingerprint);
  const promise_order key{due, ++last_id_};
  // A remainder that is sent to an early return is rounded up to the resolution.
  promises_[key] = {fingerprint, now + request.time_left, kRedeemPeriod + request.resolution};
  by_fingerprint_[fingerprint].insert(key);
  ++counts_.made;
}

void return_schedule::Remove(const promise_order& key) {
  const auto found = promises_.find(key);
  const auto open = by_fingerprint_.find(found->second.fingerprint);
  open->second.erase(key);
  if (open->second.empty()) by_fingerprint_.erase(open);
  promises_.erase(found);
}

void return_schedule::RemoveExpired(absl::Time now) {
  while (!promises_.empty()) {
    const auto& [key, first] = *promises_.begin();
    if (key.due + first.redeem_period >= now) return;
    Remove(promise_order(key));
    ++counts_.expired;
  }
}

return_decision return_schedule::Redeem(absl::string_view fingerprint,
                                        absl::optional<absl::Time> deadline, absl::Time now) {
  const absl::Time adjusted = Advance(now);
  if (deadline) *deadline += adjusted - now;
  RemoveExpired(adjusted);
  const auto found = by_fingerprint_.find(absl::HashOf(fingerprint));
  if (found == by_fingerprint_.end()) return {};
  const absl::optional<promise_order> due = FindDue(found->second, deadline, adjusted);
  if (!due) return RefuseEarly(found->second, deadline, adjusted);
  Remove(*due);
  ++counts_.redeemed;
  return {return_state::kRedeemed, {}};
}

absl::optional<return_schedule::promise_order> return_schedule::FindDue(
    const promise_set& open, absl::optional<absl::Time> deadline, absl::Time now) const {
  absl::optional<promise_order> first;
  for (const promise_order& key : open) {
    if (key.due - kEarlyTolerance > now) break;
    if (!first) first = key;
    if (deadline && IsSameDeadline(*deadline, promises_.at(key).deadline)) return key;
  }
  // Some callers state the same time left with each attempt, so a deadline that differs does not
  // show that this is another request.
  return first;
}

return_decision return_schedule::RefuseEarly(const promise_set& open,
                                             absl::optional<absl::Time> deadline, absl::Time now) {
  for (const promise_order& key : open) {
    promise& made = promises_[key];
    const bool matches = deadline ? IsSameDeadline(*deadline, made.deadline)
                                  : made.early_returns < kMaxEarlyReturnsWithoutDeadline;
    if (!matches) continue;
    ++made.early_returns;
    ++counts_.early;
    return {return_state::kEarly, key.due - now};
  }
  return {};
}

return_counts return_schedule::TakeCounts() { return std::exchange(counts_, {}); }

}  // namespace teaseljunction
