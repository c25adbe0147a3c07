#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "admission/types.h"

namespace teaseljunction {

/// A queued call and the time at which it was queued.
struct queued_call {
  admission_request request;
  absl::Time queued_since;
};

/// Bounded priority queue of calls. Calls leave it by priority, then by depth (deeper first), then
/// fairly over client accounts (start-time fair queueing), then by age. Not thread-safe.
class call_queue {
 public:
  call_queue(size_t max_calls, size_t max_bytes) : max_calls_(max_calls), max_bytes_(max_bytes) {}

  size_t Size() const { return calls_.size(); }
  bool Empty() const { return calls_.empty(); }

  /// Adds a call. When the queue is full, less important calls are removed and their ids appended
  /// to `evicted`. Returns false, without adding the call, when it does not fit and no less
  /// important call is left.
  bool Push(const admission_request& request, absl::Time now, std::vector<uint64_t>& evicted);

  /// Removes a call by id and returns it, or nothing when it is not queued.
  absl::optional<queued_call> Remove(uint64_t call_id);

  /// Removes the call that starts next, counts it as served for its account and returns it. Takes
  /// the newest call of that account when `newest_first` is set for its priority and the calls are
  /// not `carried`, otherwise the oldest one. The queue must not be empty.
  queued_call PopNext(const std::array<bool, kPriorityCount>& newest_first);

  /// Counts a call that started without being queued as served for its account.
  void RecordServed(request_priority priority, absl::string_view client_account);

  /// Returns the oldest call of a priority, or null when there is none.
  const queued_call* Oldest(request_priority priority) const;

  /// Returns the oldest call of a priority that is not `carried`, or null when there is none.
  const queued_call* OldestNotCarried(request_priority priority) const;

  /// Returns the call of a priority with the earliest deadline, or null when there is none.
  const queued_call* NextDeadline(request_priority priority) const;

  /// Returns the ids of all queued calls in unspecified order.
  std::vector<uint64_t> CallIds() const;

 private:
  /// Sequence numbers of calls, which increase in order of arrival.
  using arrival_order = std::set<uint64_t>;
  using account_queues = std::map<std::string, arrival_order>;

  /// Queued calls of one priority.
  struct priority_lane {
    std::map<uint32_t, account_queues, std::greater<>> by_depth;
    arrival_order by_age;
    // The calls of `by_age` that are not carried.
    arrival_order not_carried;
    std::set<std::pair<absl::Time, uint64_t>> by_deadline;
    /// Per account, the finish tag of its last served call, as in start-time fair queueing.
    absl::flat_hash_map<std::string, double> finish_tags;
    double virtual_time = 0;
  };

  priority_lane& LaneFor(request_priority priority) {
    return lanes_[static_cast<size_t>(priority)];
  }
  const priority_lane& LaneFor(request_priority priority) const {
    return lanes_[static_cast<size_t>(priority)];
  }
  bool IsFullFor(size_t bytes) const {
    return calls_.size() >= max_calls_ || bytes_ + bytes > max_bytes_;
  }
  /// Returns the sequence number of the call to evict in favour of `request`, if there is one.
  absl::optional<uint64_t> FindVictim(const admission_request& request) const;
  queued_call Extract(uint64_t sequence);

  size_t max_calls_;
  size_t max_bytes_;
  size_t bytes_ = 0;
  uint64_t next_sequence_ = 0;
  std::array<priority_lane, kPriorityCount> lanes_;
  absl::flat_hash_map<uint64_t, queued_call> calls_;
  absl::flat_hash_map<uint64_t, uint64_t> sequence_by_call_id_;
};

}  // namespace teaseljunction
