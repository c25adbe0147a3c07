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

/// A request that was assigned a slot.
struct started_request {
  uint64_t id = 0;
  /// Time for which the request occupies its slot, without child calls.
  absl::Duration service_time;
  bool fails = false;
  bool crashes = false;
};

/// Actions that the caller of `service_model` has to take after an event.
struct model_effects {
  std::vector<started_request> started;
  /// Requests removed from the queue because their deadline had passed.
  std::vector<uint64_t> expired;
  /// Set by `Submit` when the request is refused because all slots are in use and shedding is
  /// enabled, or because the queue is full.
  bool shed = false;
};

/// Queueing model of a stand-in target: decides which requests run and for how long, and counts
/// them. Uses no threads or clocks; not thread-safe.
class service_model {
 public:
  /// `random` must outlive the model.
  service_model(standin_settings settings, absl::Time start, random_source& random);

  /// Starts, queues or refuses a request. `id` must be unique.
  model_effects Submit(uint64_t id, const standin_request& request, absl::Time now);

  /// Ends a started request and frees its slot. Ignores requests that are not running.
  model_effects Finish(uint64_t id, bool failed, absl::Time now);

  /// Removes a running or queued request whose caller has disconnected.
  model_effects Cancel(uint64_t id, absl::Time now);

  void UpdateSettings(const standin_settings_change& change);

  /// Returns the load to announce, 0 to 1.
  double Load() const;

  standin_counters Counters() const;

 private:
  struct queued_request {
    uint64_t id = 0;
    absl::Time deadline;
    bool crashes = false;
    std::string request_id;
    std::string idempotency_key;
  };
  using counter_table = absl::flat_hash_map<std::string, uint32_t>;

  void StartQueuedRequests(absl::Time now, model_effects& effects);
  started_request Start(const queued_request& request, absl::Time now);
  void Count(counter_table& table, const std::string& value);
  double ServiceTimeFactor(absl::Time now) const;

  standin_settings settings_;
  const absl::Time start_;
  random_source& random_;
  double slow_factor_ = 1;
  absl::flat_hash_set<uint64_t> running_;
  std::deque<queued_request> queue_;
  standin_counters counters_;
  counter_table idempotency_keys_;
  counter_table request_ids_;
  counter_table key_like_headers_;
};

}  // namespace teaseljunction
