#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/types.h"

namespace teaseljunction {

/// A call that a stand-in makes for each request.
struct child_call {
  std::string method;
  std::string path;
};

/// Settings of a stand-in target.
struct standin_settings {
  std::string service;
  /// Requests that run at once; more wait in a queue.
  uint32_t slots = 16;
  /// Time that a request occupies a slot, without its child calls.
  absl::Duration service_time = absl::Milliseconds(20);
  /// Time after the start in which the service time falls from 4 times its value to its value.
  absl::Duration slow_start;
  /// Share of the requests that end with status 500, 0 to 1.
  double fail_ratio = 0;
  /// Body text that makes the process abort. Empty never does.
  std::string crash_on;
  /// Refuses requests above the slots instead of queueing them.
  bool shed = false;
  /// HTTP entry point of the daemon beside the target. Empty announces nothing.
  std::string daemon_address;
  std::vector<child_call> chain;
  /// Load that is announced instead of the true one.
  absl::optional<double> load_lie;
};

/// Settings that can be changed while the stand-in runs.
struct standin_change {
  /// Factor of the service time.
  absl::optional<double> slow;
  absl::optional<double> fail_ratio;
  absl::optional<bool> shed;
};

/// A request as the stand-in received it.
struct standin_request {
  std::string method;
  /// Path with query.
  std::string path;
  std::vector<http_header> headers;
  std::string body;
};

/// The stand-in's response. The body is JSON.
struct standin_reply {
  int status = 200;
  std::vector<http_header> headers;
  std::string body;
};

/// Number of requests per identifier.
struct identifier_count {
  std::string value;
  uint32_t count = 0;
};

/// Counters since the start.
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
  uint64_t uncounted = 0;
  std::vector<identifier_count> idempotency_keys;
  std::vector<identifier_count> request_ids;
  /// Names of headers, or "query" and "body", in which a key of a caller was seen.
  std::vector<identifier_count> key_like_headers;
};

}  // namespace teaseljunction
