#pragma once

#include <cstdint>
#include <limits>
#include <string>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "balancer/internal/target_state.h"

namespace teaseljunction {

/// A call that needs a target, and the conditions and scores of targets for it.
struct selection_request {
  const service_state& service;
  request_priority priority;
  uint8_t cohort;
  absl::Span<const std::string> excluded;
  absl::Time now;
  /// In seconds.
  double target_latency = std::numeric_limits<double>::infinity();

  bool Excluded(const target_state& target) const;
  bool Usable(const target_state& target) const {
    return !target.Ejected(now) && target.Admits(priority, cohort, now);
  }
  bool Healthy(const target_state& target) const { return !target.Ejected(now); }
  bool AnyTarget(const target_state&) const { return true; }

  /// Returns the expected latency in seconds, raised by the load of the target. Lower is better.
  double Score(const target_state& target) const;

  /// Returns the target with the better score; null counts as the worst.
  target_state* Better(target_state* a, target_state* b) const;
};

}  // namespace teaseljunction
