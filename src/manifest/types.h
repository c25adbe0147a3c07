#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/types.h"

namespace teaseljunction {

/// A client account of the manifest.
struct client_account {
  std::string name;
  /// Sustained requests per second over the whole fleet. 0 means no limit; the JSON format of
  /// manifest_codec.h does not allow it.
  double rate = 0;
  /// Number of requests that may arrive at once, at least 1.
  double burst = 0;
  /// Digests of the account's keys, each "sha256:" and 64 lower-case hexadecimal digits. Keys
  /// themselves are never stored.
  std::vector<std::string> key_digests;
  /// Priority of the account's requests. When unset, the priority of the route applies.
  absl::optional<request_priority> priority;
};

/// A service of the manifest.
struct service {
  std::string name;
  /// Maximum concurrency limit of each target. 0 means that the slots announced by the target
  /// apply.
  uint32_t max_concurrency = 0;
  /// Retries to the service as a ratio of its first attempts, 0 to 1.
  double retry_ratio = 0.1;
  /// Path of the health check of a target; empty when it has none. Not part of the JSON format of
  /// manifest_codec.h.
  std::string health_path;
};

/// A service that receives a weighted share of the requests of a route.
struct route_part {
  std::string service;
  /// Weight relative to the other services of the route, above 0.
  double weight = 1;
};

/// A route of the manifest.
struct route {
  std::string name;
  /// HTTP method. Empty for any method.
  std::string method;
  /// Exact path, or a path prefix followed by "/*".
  std::string path;
  /// Service of the route; the first of `parts` when these are not empty.
  std::string service;
  request_priority priority = request_priority::kNormal;
  /// True when a request may safely run more than once.
  bool idempotent = false;
  /// True when requests need no key.
  bool open = false;
  absl::Duration timeout = absl::Seconds(5);
  /// Maximum number of attempts for one entry request, summed over all depths of its call graph.
  uint32_t max_attempts = 64;
  /// Maximum number of targets that a request may be sent to at this hop.
  uint32_t max_targets = 3;
  /// True when each non-idempotent request is registered with the control group, so that a repeated
  /// request with the same Idempotency-Key does not run again. When false, each request still runs
  /// at most once, but a repeated one counts as a new request.
  bool claims = true;
  /// True when only targets call the route, on behalf of requests that are already admitted.
  bool internal = false;
  /// Latency objective: an answer has its full value only within this time. Zero when there is
  /// none.
  absl::Duration target_latency;
  /// Host name in the request, without the port. Empty for any host.
  std::string host;
  /// Services among which requests are divided by weight; empty when all go to `service`.
  std::vector<route_part> parts;
};

/// How daemons keep services from being overloaded.
enum class overload_control_mode : uint8_t {
  /// Levels that follow the measured load of the services.
  kReactive,
  /// A plan of each service's capacity, made where requests enter.
  kPlanned,
};

/// A decoded and validated manifest.
struct manifest {
  uint64_t version = 0;
  std::vector<client_account> client_accounts;
  std::vector<service> services;
  std::vector<route> routes;
  /// True when request paths are matched as received, without percent-decoding and without the
  /// check for dot and empty segments.
  bool literal_paths = false;
  overload_control_mode overload_control = overload_control_mode::kReactive;
};

}  // namespace teaseljunction
