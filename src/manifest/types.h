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
  /// Requests per second over the whole fleet, above 0.
  /// 0, which only some formats allow, stands for no limit.
  double rate = 0;
  /// Requests that may come at once, at least 1.
  double burst = 0;
  /// "sha256:" and 64 hexadecimal digits each. Keys themselves are never stored.
  std::vector<std::string> key_digests;
  /// Priority of the account's requests; without it that of the route holds.
  absl::optional<request_priority> priority;
};

/// A service of the manifest.
struct service {
  std::string name;
  /// Upper bound of the concurrency limit of each target; 0 leaves it to the announced slots.
  uint32_t max_concurrency = 0;
  /// Retries to the service as a share of its first attempts, 0 to 1.
  double retry_ratio = 0.1;
  /// Path at which a target tells whether it is healthy; empty when there is none. Not part of the
  /// product's own format.
  std::string health_path;
};

/// One of the services over which the requests of a route are divided.
struct route_part {
  std::string service;
  /// Share of the requests in relation to the weights of the other parts, above 0.
  double weight = 1;
};

/// A route of the manifest.
struct route {
  std::string name;
  /// Empty for any method.
  std::string method;
  /// Exact path, or a prefix that ends with "/*".
  std::string path;
  /// Service of the route, or that of the first part.
  std::string service;
  request_priority priority = request_priority::kNormal;
  bool idempotent = false;
  /// True when the route is open to all and needs no key.
  bool open = false;
  absl::Duration timeout = absl::Seconds(5);
  /// Attempts for one entry request, at all depths together.
  uint32_t max_attempts = 64;
  /// Targets that one request may be sent to at this hop.
  uint32_t max_targets = 3;
  /// True when a non-idempotent request is registered with the control group, so that repeated
  /// requests with its Idempotency-Key do not run again. Without it, each request runs at most
  /// once, and a repeated one is another request.
  bool claims = true;
  /// True when the route is called only by targets, on behalf of requests that were admitted.
  bool internal = false;
  /// Time within which an answer has its full value; zero when there is no such time.
  absl::Duration target_latency;
  /// Host that the request names, without a port. Empty for any host.
  std::string host;
  /// Services over which requests are divided by weight; empty when there is only `service`.
  std::vector<route_part> parts;
};

/// A decoded and validated manifest.
struct manifest {
  uint64_t version = 0;
  std::vector<client_account> client_accounts;
  std::vector<service> services;
  std::vector<route> routes;
  /// True when paths are compared with routes as they are received, without decoding.
  bool literal_paths = false;
};

}  // namespace teaseljunction
