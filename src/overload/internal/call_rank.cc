#include "overload/call_rank.h"

namespace teaseljunction {

call_rank RankOfChildCall(const call_rank& parent) {
  call_rank child = parent;
  ++child.depth;
  // The priority is raised once, at the call that the request itself makes.
  if (parent.depth == 0) {
    child.priority = parent.priority == request_priority::kLow ? request_priority::kHigh
                                                               : request_priority::kCritical;
  }
  return child;
}

call_rank PlannedRankOfChildCall(const call_rank& parent) {
  call_rank child = parent;
  ++child.depth;
  return child;
}

}  // namespace teaseljunction
