#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/types.h"

namespace teaseljunction {

/// A call that a stand-in target makes for each request.
struct child_call {
  std::string method;
  std::string path;
};

/// Settings of a stand-in target.
struct standin_settings {
  std::string service;
  /// Maximum number of concurrent requests; further requests are queued.
  uint32_t slots = 16;
  /// Time that a request occupies a slot, without its child calls.
  absl::Duration service_time = absl::Milliseconds(20);
  /// Time after the start during which the service time falls linearly from 4 times `service_time`
  /// to `service_time`.
  absl::Duration slow_start;
  /// Share of the requests that end with status 500, 0 to 1.
  double fail_ratio = 0;
  /// The process aborts when a request body contains this text. Empty disables this.
  std::string crash_on;
  /// Refuses requests when all slots are in use, instead of queueing them.
  bool shed = false;
  /// HTTP entry point of the local daemon. Empty disables announcements.
  std::string daemon_address;
  std::vector<child_call> chain;
  /// Load to announce instead of the actual load, 0 to 1 (--load_lie).
  absl::optional<double> load_override;
};

/// Settings that can be changed at run time. Unset fields stay unchanged.
struct standin_settings_change {
  /// Factor applied to the service time.
  absl::optional<double> slow_factor;
  absl::optional<double> fail_ratio;
  absl::optional<bool> shed;
};

/// A request received by the stand-in target or sent to its daemon.
struct standin_request {
  std::string method;
  /// Path with query.
  std::string path;
  std::vector<http_header> headers;
  std::string body;
};

/// Response of the stand-in target.
struct standin_reply {
  int status = 200;
  std::vector<http_header> headers;
  std::string body;
};

/// Number of requests with one identifier.
struct identifier_count {
  std::string value;
  uint32_t count = 0;
};

/// Counters of requests since the start of the process.
struct standin_counters {
  uint32_t running = 0;
  uint32_t queued = 0;
  /// Requests that occupied a slot, whether or not they completed.
  uint64_t started = 0;
  uint64_t completed = 0;
  uint64_t failed = 0;
  uint64_t shed = 0;
  /// Requests whose caller disconnected.
  uint64_t cancelled = 0;
  /// Requests whose deadline passed in the queue.
  uint64_t expired = 0;
  /// Identifiers that were not counted because the tables were full.
  uint64_t uncounted = 0;
  std::vector<identifier_count> idempotency_keys;
  std::vector<identifier_count> request_ids;
  /// Header names, or "query" and "body", where a caller's key was found.
  std::vector<identifier_count> key_like_headers;
};

}  // namespace teaseljunction
