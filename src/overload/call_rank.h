#pragma once

#include <cstdint>

#include "common/types.h"

namespace teaseljunction {

/// What decides which of two calls is refused first: the priority, then the depth and the cohort.
struct call_rank {
  request_priority priority = request_priority::kNormal;
  uint8_t cohort = 0;
  uint32_t depth = 0;
  bool operator==(const call_rank&) const = default;
};

/// Returns the rank of the calls that an execution with the rank `parent` makes. It answers the
/// load of a service that several kinds of requests reach with many calls each: the calls of one
/// request share its cohort, so a service that has to refuse a tenth of its calls fails a tenth of
/// the requests and not one call of nearly every request. The calls of more important requests come
/// first, and those of any admitted request before new requests of its priority.
call_rank RankOfChildCall(const call_rank& parent);

/// Returns the rank of the calls that an execution makes where the entry plans the capacity: that
/// of its root, one hop deeper. Raised ranks would let calls of less important requests pass those
/// of more important ones.
call_rank PlannedRankOfChildCall(const call_rank& parent);

}  // namespace teaseljunction
