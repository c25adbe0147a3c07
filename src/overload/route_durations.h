#pragma once

#include <array>
#include <cstddef>
#include <set>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace teaseljunction {

/// Learns how long the calls of each route last, from the calls that have ended and from the age of
/// those that still run. A stopping daemon uses it to refuse calls that would not end before the
/// stop, which otherwise fail after a target has worked on them. Not thread-safe.
class route_durations {
 public:
  void RecordStart(absl::string_view route, absl::Time started_at);

  /// Records the end of a call for which `RecordStart` was called. `counts` is false for a call
  /// that ended without reaching a target, whose duration says nothing about its route.
  void RecordEnd(absl::string_view route, absl::Time started_at, bool counts, absl::Time now);

  /// Returns the duration that 9 in 10 calls of a route do not exceed. A route whose running calls
  /// are older than those that have ended is expected to take twice their age. Returns zero for a
  /// route without calls.
  absl::Duration Expected(absl::string_view route, absl::Time now) const;

 private:
  static constexpr size_t kMaxEndedCalls = 32;

  struct ended_call {
    absl::Time ended_at = absl::InfinitePast();
    absl::Duration duration;
  };
  struct route_state {
    std::multiset<absl::Time> running;
    // Ring of the calls that have ended last.
    std::array<ended_call, kMaxEndedCalls> ended;
    size_t next_ended = 0;
  };

  absl::flat_hash_map<std::string, route_state> routes_;
};

}  // namespace teaseljunction
