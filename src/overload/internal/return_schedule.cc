#include "overload/return_schedule.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/hash/hash.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kWindow = absl::Milliseconds(100);
/// The schedule reaches 4 s ahead, a third of a timeout of 12 s.
constexpr int64_t kMaxWindowsAhead = 40;
/// The bound applies to the sum over this many successive windows as well, because a daemon that
/// admits 5 requests per second may promise only a quarter of one in each window.
constexpr int64_t kSpanWindows = 10;
/// Part of the admitted flow that may be promised. Promises can still be kept when the capacity
/// halves between the promise and the return.
constexpr double kMaxPromisedFraction = 0.5;
/// Part of the admitted flow that may go to returns, with and without a promise. They find room
/// when the capacity falls by a third; with 0.75, 20 of 1462 refused requests were refused again at
/// their time in the simulation of the tests.
constexpr double kMaxReturningFraction = 0.65;
/// Bounds the search for the entry of an arriving request, when many equal requests are refused.
constexpr size_t kMaxEntriesPerFingerprint = 64;
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
/// Returns before their time that one entry answers if the caller states no deadline. Bounds the
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

absl::Duration LongestWait(const refused_request& request) {
  return (request.time_left - kCallerLatencyMargin) / kWaitDivisor;
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

return_schedule::return_schedule(size_t max_entries) : max_entries_(max_entries) {}

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
  uint32_t& promised = CountsOf(promised_, index)[IndexOf(priority)];
  if (promised >= std::ceil(max_per_window)) return false;
  // Checks all spans that the window belongs to.
  uint32_t sum = 0;
  for (int64_t last = index - kSpanWindows + 1; last < index + kSpanWindows; ++last) {
    sum += CountsOf(promised_, last)[IndexOf(priority)];
    if (last < index) continue;
    if (sum + 1 > max_per_window * kSpanWindows) return false;
    sum -= CountsOf(promised_, last - kSpanWindows + 1)[IndexOf(priority)];
  }
  ++promised;
  return true;
}

absl::optional<absl::Duration> return_schedule::FindDelay(const refused_request& request,
                                                          absl::Time now) {
  const absl::Duration longest = LongestWait(request);
  const absl::Duration earliest = std::max(request.room_expected_in, request.resolution);
  const double max_per_window = FlowPerWindow(request.priority, now) * kMaxPromisedFraction;
  if (earliest > longest || max_per_window <= 0) return absl::nullopt;
  const int64_t end = WindowOf(now) + kMaxWindowsAhead;
  for (int64_t index = WindowOf(now + earliest); index < end; ++index) {
    const uint32_t promised = CountsOf(promised_, index)[IndexOf(request.priority)];
    // Delays in whole seconds can't be spread; the times of the refusals are.
    const absl::Duration offset = request.resolution < kWindow
                                      ? kWindow * std::fmod(promised * kSpread, 1.0)
                                      : absl::ZeroDuration();
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
  const uint64_t fingerprint = absl::HashOf(request.fingerprint);
  const auto equal = by_fingerprint_.find(fingerprint);
  const bool may_add =
      equal == by_fingerprint_.end() || equal->second.size() < kMaxEntriesPerFingerprint;
  entry added{fingerprint, now + request.time_left, now, request.priority};
  if (const auto delay = may_add ? FindDelay(request, now) : absl::nullopt) {
    added.due += *delay;
    added.promised = true;
    ++counts_.made;
    // A remainder that is sent to an early return is rounded up to the resolution.
    Add(added, added.due + kRedeemPeriod + request.resolution);
    return {*delay, true};
  }
  ++counts_.withheld;
  // Half of the time left is more than the caller waits for.
  const absl::Duration delay =
      absl::Ceil(std::max({request.time_left / 2, request.resolution,
                           std::min(request.room_expected_in, request.time_left)}),
                 request.resolution);
  if (may_add && withheld_count_ < max_entries_ / 2) {
    added.due += LongestWait(request);
    ++withheld_count_;
    Add(added, now + delay + kRedeemPeriod);
  }
  return {delay, false};
}

void return_schedule::Add(const entry& added, absl::Time expires) {
  while (!entries_.empty() && entries_.size() >= max_entries_) {
    if (entries_.begin()->second.promised) ++counts_.evicted;
    Remove(entry_order(entries_.begin()->first));
  }
  const entry_order key{expires, ++last_id_};
  entries_[key] = added;
  by_fingerprint_[added.fingerprint].insert(key);
}

void return_schedule::Remove(const entry_order& key) {
  const auto found = entries_.find(key);
  const auto open = by_fingerprint_.find(found->second.fingerprint);
  open->second.erase(key);
  if (open->second.empty()) by_fingerprint_.erase(open);
  if (!found->second.promised) --withheld_count_;
  entries_.erase(found);
}

void return_schedule::RemoveExpired(absl::Time now) {
  while (!entries_.empty() && entries_.begin()->first.expires < now) {
    if (entries_.begin()->second.promised) ++counts_.expired;
    Remove(entry_order(entries_.begin()->first));
  }
}

return_decision return_schedule::Redeem(absl::string_view fingerprint,
                                        absl::optional<absl::Time> deadline, absl::Time now) {
  const absl::Time adjusted = Advance(now);
  if (deadline) *deadline += adjusted - now;
  RemoveExpired(adjusted);
  const auto open = by_fingerprint_.find(absl::HashOf(fingerprint));
  if (open == by_fingerprint_.end()) return {};
  const absl::optional<entry_order> key = FindEntry(open->second, deadline, adjusted);
  if (!key) return {};
  entry& found = entries_[*key];
  if (!found.IsDue(adjusted)) {
    ++found.early_returns;
    ++counts_.early;
    return {return_state::kEarly, found.due - adjusted};
  }
  const entry returned = found;
  Remove(*key);
  if (!returned.promised) {
    const double flow = FlowPerWindow(returned.priority, adjusted);
    if (!TakePlace(returned.priority, adjusted, flow * kMaxReturningFraction)) return {};
    ++counts_.placed;
  } else {
    ++counts_.redeemed;
  }
  return {return_state::kRedeemed, {}};
}

absl::optional<return_schedule::entry_order> return_schedule::FindEntry(
    const entry_set& open, absl::optional<absl::Time> deadline, absl::Time now) const {
  absl::optional<entry_order> due;
  absl::optional<entry_order> early;
  for (const entry_order& key : open) {
    const entry& found = entries_.at(key);
    if (deadline && IsSameDeadline(*deadline, found.deadline)) return key;
    if (found.IsDue(now)) {
      if (!due) due = key;
    } else if (!early && found.early_returns < kMaxEarlyReturnsWithoutDeadline) {
      early = key;
    }
  }
  // Some callers state the same time left with each attempt, so a deadline that differs does not
  // show that this is another request.
  if (due) return due;
  return deadline ? absl::nullopt : early;
}

bool return_schedule::entry::IsDue(absl::Time now) const { return due - kEarlyTolerance <= now; }

return_counts return_schedule::TakeCounts() { return std::exchange(counts_, {}); }

}  // namespace teaseljunction
