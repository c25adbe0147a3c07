#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/types.h"

namespace teaseljunction {

/// A target that calls can be sent to, as announced in the directory of daemons.
struct balancer_target {
  std::string daemon_id;
  std::string service;
  /// RPC address of the daemon beside the target.
  std::string address;
  /// Data centre of that daemon.
  std::string data_centre;
  /// Changes when the target's process restarts; what was observed of the target is then dropped.
  uint64_t incarnation = 0;
  /// Number of calls that the target can run at once.
  uint32_t slots = 0;
  /// Announced load, 0 to 1. Used only as a tie-breaker.
  double announced_load = 0;
  /// True when the target must get no new calls.
  bool draining = false;
  /// Remaining time for which the target is slow, zero when it is warm. Unset when the target does
  /// not announce it.
  absl::optional<absl::Duration> warm_up_remaining;
};

/// The target that was chosen for an attempt.
struct target_choice {
  std::string daemon_id;
  /// RPC address of the daemon beside the target.
  std::string address;
  bool other_data_centre = false;
};

/// Calls of a service that leave the data centre.
struct spill_status {
  /// Fraction of the calls, 0 to 1.
  double remote_share = 0;
  /// Mean loads of the targets in the local and in other data centres, unset when unknown.
  absl::optional<double> local_load;
  absl::optional<double> remote_load;
};

/// How an attempt ended. kRefused: the target did not run the call. kCancelled: the caller gave up
/// before there was a response.
enum class attempt_result : uint8_t { kAnswered, kRefused, kFailed, kCancelled };

}  // namespace teaseljunction
