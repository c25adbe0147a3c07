#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "common/types.h"

namespace teaseljunction {

/// A client account of the manifest.
struct client_account {
  std::string name;
  /// Requests per second over the whole fleet, above 0.
  double rate = 0;
  /// Requests that may come at once, at least 1.
  double burst = 0;
  /// "sha256:" and 64 hexadecimal digits each. Keys themselves are never stored.
  std::vector<std::string> key_digests;
};

/// A service of the manifest.
struct service {
  std::string name;
  /// Upper bound of the concurrency limit of each target; 0 leaves it to the announced slots.
  uint32_t max_concurrency = 0;
  /// Retries to the service as a share of its first attempts, 0 to 1.
  double retry_ratio = 0.1;
};

/// A route of the manifest.
struct route {
  std::string name;
  std::string method;
  /// Exact path, or a prefix that ends with "/*".
  std::string path;
  std::string service;
  request_priority priority = request_priority::kNormal;
  bool idempotent = false;
  /// True when the route is open to all and needs no key.
  bool open = false;
  absl::Duration timeout = absl::Seconds(5);
  /// Attempts for one entry request, at all depths together.
  uint32_t max_attempts = 64;
};

/// A decoded and validated manifest.
struct manifest {
  uint64_t version = 0;
  std::vector<client_account> client_accounts;
  std::vector<service> services;
  std::vector<route> routes;
};

}  // namespace teaseljunction
