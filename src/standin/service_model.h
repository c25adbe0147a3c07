#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "common/random_source.h"
#include "standin/types.h"

namespace teaseljunction {

/// A request that got a slot.
struct started_request {
  uint64_t id = 0;
  /// Time until the request has been served.
  absl::Duration service_time;
  bool fails = false;
  bool crashes = false;
};

/// What follows from an event.
struct model_step {
  std::vector<started_request> started;
  /// Requests that left the queue unserved because their deadline had passed.
  std::vector<uint64_t> expired;
  /// Set by `Arrive` when the request is refused because all slots are taken.
  bool shed = false;
};

/// Decides which requests run at a stand-in target and for how long, and counts them. Without
/// threads and clocks; not thread-safe.
class service_model {
 public:
  /// `random` must outlive the model.
  service_model(standin_settings settings, absl::Time start, random_source& random);

  /// Adds a request. `id` must be new.
  model_step Arrive(uint64_t id, const standin_request& request, absl::Time now);

  /// Ends a request that was started.
  model_step Finish(uint64_t id, bool failed, absl::Time now);

  /// Removes a request whose caller has gone, whether it runs or waits.
  model_step Cancel(uint64_t id, absl::Time now);

  void Change(const standin_change& change);

  /// Load to announce, 0 to 1.
  double Load() const;

  standin_counters Counters() const;

 private:
  struct waiting_request {
    uint64_t id = 0;
    absl::Time deadline;
    bool crashes = false;
    std::string request_id;
    std::string idempotency_key;
  };
  using counter_table = absl::flat_hash_map<std::string, uint32_t>;

  void StartWaiting(absl::Time now, model_step& step);
  started_request Start(const waiting_request& request, absl::Time now);
  void Count(counter_table& table, const std::string& value);
  double SlowFactor(absl::Time now) const;

  standin_settings settings_;
  const absl::Time start_;
  random_source& random_;
  double slow_ = 1;
  absl::flat_hash_set<uint64_t> running_;
  std::deque<waiting_request> queue_;
  standin_counters counters_;
  counter_table idempotency_keys_;
  counter_table request_ids_;
  counter_table key_like_headers_;
};

}  // namespace teaseljunction
