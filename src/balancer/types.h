#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/types.h"

namespace teaseljunction {

/// A target that calls can be sent to, from the directory of daemons.
struct balancer_target {
  std::string daemon_id;
  std::string service;
  /// RPC address of the daemon beside the target.
  std::string address;
  std::string data_centre;
  /// Changes when the target's process starts again; its history is then dropped.
  uint64_t incarnation = 0;
  uint32_t slots = 0;
  /// Announced load, 0 to 1; only a tie-breaker.
  double announced_load = 0;
  bool draining = false;
  /// Time for which the target stays slow; unset when it does not tell.
  absl::optional<absl::Duration> warm_up;
};

/// The target of one attempt.
struct target_choice {
  std::string daemon_id;
  std::string address;
  bool other_data_centre = false;
};

/// How an attempt ended, as the balancer sees it.
enum class attempt_result : uint8_t { kAnswered, kRefused, kFailed, kCancelled };

}  // namespace teaseljunction
