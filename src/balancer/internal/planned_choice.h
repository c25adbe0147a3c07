#pragma once

#include "balancer/internal/fast_random.h"
#include "balancer/internal/selection_request.h"
#include "balancer/internal/spill_control.h"

namespace teaseljunction {

/// Returns the loads and latencies of the targets of a service as of `now`.
spill_inputs SpillInputsOf(const service_state& service, absl::Time now);

/// Returns a target for the call. The remote share of the service decides the group of targets;
/// within the group, a target is drawn with a probability in proportion to its capacity and lower
/// at a higher load. Returns null when no target is usable, or when the daemon has no valid load
/// reports of local targets and has to decide by its own latencies.
target_state* PickPlannedTarget(const selection_request& request, fast_random& random);

}  // namespace teaseljunction
