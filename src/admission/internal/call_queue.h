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

/// A call that waits, with the time since when it does.
struct queued_call {
  admission_request request;
  absl::Time since;
};

/// Bounded queue of calls, ordered by priority, depth, calls served per client account, and age.
class call_queue {
 public:
  call_queue(size_t max_calls, size_t max_bytes) : max_calls_(max_calls), max_bytes_(max_bytes) {}

  size_t Size() const { return calls_.size(); }
  bool Empty() const { return calls_.empty(); }

  /// Adds a call. When the queue is full, calls that are less important are removed and their ids
  /// are appended to `evicted`. False when no such call is left; the new call is then not added.
  bool Push(const admission_request& request, absl::Time now, std::vector<uint64_t>& evicted);

  /// Removes a call by id. Nothing when it is not queued.
  absl::optional<queued_call> Remove(uint64_t call_id);

  /// Removes the call that is to start next and counts it as served for its account. With
  /// `newest_first` of its priority the newest call of the account is taken.
  queued_call PopNext(const std::array<bool, kPriorityCount>& newest_first);

  /// Counts a call as served that started without waiting.
  void CountServed(request_priority priority, absl::string_view client_account);

  /// Returns the oldest call of a priority, or null.
  const queued_call* Oldest(request_priority priority) const;

  /// Returns the call of a priority whose deadline is next, or null.
  const queued_call* NextDeadline(request_priority priority) const;

  /// Returns the ids of all calls.
  std::vector<uint64_t> Ids() const;

 private:
  /// Calls of one account in order of arrival, as sequence numbers.
  using account_line = std::set<uint64_t>;
  using depth_lines = std::map<std::string, account_line>;

  /// Calls of one priority.
  struct lane {
    std::map<uint32_t, depth_lines, std::greater<>> by_depth;
    account_line by_age;
    std::set<std::pair<absl::Time, uint64_t>> by_deadline;
    /// Virtual time at which each account may be served next, as in start-time fair queueing.
    absl::flat_hash_map<std::string, double> next_service;
    double virtual_time = 0;
  };

  lane& LaneOf(request_priority priority) { return lanes_[static_cast<size_t>(priority)]; }
  const lane& LaneOf(request_priority priority) const {
    return lanes_[static_cast<size_t>(priority)];
  }
  bool Full(size_t bytes) const {
    return calls_.size() >= max_calls_ || bytes_ + bytes > max_bytes_;
  }
  /// Returns the sequence number of the call to remove in favour of `request`, if there is one.
  absl::optional<uint64_t> FindVictim(const admission_request& request) const;
  queued_call Take(uint64_t sequence);

  size_t max_calls_;
  size_t max_bytes_;
  size_t bytes_ = 0;
  uint64_t next_sequence_ = 0;
  std::array<lane, kPriorityCount> lanes_;
  absl::flat_hash_map<uint64_t, queued_call> calls_;
  absl::flat_hash_map<uint64_t, uint64_t> sequences_;
};

}  // namespace teaseljunction
