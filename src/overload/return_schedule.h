#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/types.h"

namespace teaseljunction {

/// A refused request that asks for a time to return at.
struct refused_request {
  /// Digest of account, method, path and body, which all attempts of one request share.
  absl::string_view fingerprint;
  request_priority priority = request_priority::kNormal;
  /// Time after which a request of this rank would find capacity.
  absl::Duration room_expected_in;
  /// Time left until the deadline of the request.
  absl::Duration time_left;
  /// Smallest step of the delays that can be sent to the caller.
  absl::Duration resolution = absl::Milliseconds(1);
};

/// The delay to send to a refused caller.
struct return_delay {
  absl::Duration delay;
  /// True if a request that returns after the delay can be redeemed.
  bool promised = false;
};

/// What is known of an arriving request.
enum class return_state : uint8_t {
  /// No promise was made to it, or the promise has expired.
  kNew,
  /// It returns as told and goes before new requests. Its promise has been used up.
  kRedeemed,
  /// It returns before its time.
  kEarly,
};

struct return_decision {
  return_state state = return_state::kNew;
  /// Time until the promise is due, for `return_state::kEarly`.
  absl::Duration remaining;
};

/// Numbers of events.
struct return_counts {
  uint64_t made = 0;
  uint64_t redeemed = 0;
  uint64_t early = 0;
  uint64_t expired = 0;
  uint64_t evicted = 0;
  /// Requests without a promise that found a place when they returned.
  uint64_t placed = 0;
  /// Refused requests that got no promise, because no window was free within their time.
  uint64_t withheld = 0;
};

/// Tells refused requests when to return, and recognises them when they do. Time is divided into
/// windows. The promises of a window are bounded by a fraction of the flow that this entry admits
/// at the priority, so that a promise can be kept when the capacity falls. A request without a
/// promise that returns after the longest wait of its caller takes what is left of its window.
/// Bounded in entries; not thread-safe.
///
/// Equal requests of one account share a fingerprint. They are told apart by their deadlines, which
/// stay the same for the attempts of one request if the caller states the time left.
class return_schedule {
 public:
  static constexpr size_t kDefaultMaxEntries = 8192;

  explicit return_schedule(size_t max_entries = kDefaultMaxEntries);

  /// Counts a request that was admitted at the entry.
  void RecordAdmitted(request_priority priority, absl::Time now);

  /// Promises capacity to a refused request, if a window is free within the time that its caller
  /// is willing to wait, which is a third of its time left. Otherwise the delay is beyond that.
  return_delay Schedule(const refused_request& request, absl::Time now);

  /// Looks up an arriving request. `deadline` is nothing if the caller stated none. Each promise is
  /// redeemed once at most.
  return_decision Redeem(absl::string_view fingerprint, absl::optional<absl::Time> deadline,
                         absl::Time now);

  /// Returns the numbers of events since the last call of this function.
  return_counts TakeCounts();

  /// Returns the number of refused requests that are remembered.
  size_t Size() const { return entries_.size(); }

 private:
  // Size of the ring of windows. It holds the windows that the schedule reaches ahead and the
  // recent ones, which count for the bound as well.
  static constexpr size_t kWindowCount = 64;
  // Windows over which the admitted flow is averaged: 1 s, since a daemon that admits 20 requests
  // per second sees only 2 in a window.
  static constexpr size_t kFlowWindowCount = 10;

  using priority_counts = std::array<uint32_t, kPriorityCount>;
  /// Counts of one window, in a ring of windows.
  struct window {
    int64_t index = -1;
    priority_counts counts = {};
  };
  struct entry_order {
    absl::Time expires;
    uint64_t id = 0;
    bool operator<(const entry_order& other) const {
      return expires != other.expires ? expires < other.expires : id < other.id;
    }
  };
  /// A request that was told when to return, with a promise or without.
  struct entry {
    uint64_t fingerprint = 0;
    absl::Time deadline;
    absl::Time due;
    request_priority priority = request_priority::kNormal;
    bool promised = false;
    uint32_t early_returns = 0;
    bool IsDue(absl::Time now) const;
  };
  using entry_set = std::set<entry_order>;

  absl::Time Advance(absl::Time now);
  void RemoveExpired(absl::Time now);
  void Remove(const entry_order& key);
  void Add(const entry& added, absl::Time expires);
  bool TakePlace(request_priority priority, absl::Time due, double max_per_window);
  absl::optional<absl::Duration> FindDelay(const refused_request& request, absl::Time now);
  double FlowPerWindow(request_priority priority, absl::Time now) const;
  // Returns the entry that an arriving request belongs to, if any.
  absl::optional<entry_order> FindEntry(const entry_set& open, absl::optional<absl::Time> deadline,
                                        absl::Time now) const;

  size_t max_entries_;
  // Sum of the steps by which the clock went back.
  absl::Duration clock_offset_;
  absl::Time now_ = absl::InfinitePast();
  uint64_t last_id_ = 0;
  std::array<window, kWindowCount> promised_;
  std::array<window, kFlowWindowCount + 1> admitted_;
  // First window with an admitted request; nothing before the first one.
  absl::optional<int64_t> first_admitted_;
  absl::flat_hash_map<uint64_t, entry_set> by_fingerprint_;
  std::map<entry_order, entry> entries_;
  // Entries without a promise.
  size_t withheld_count_ = 0;
  return_counts counts_;
};

}  // namespace teaseljunction
