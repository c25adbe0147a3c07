#include "balancer/internal/selection_request.h"

#include <algorithm>
#include <cmath>

namespace teaseljunction {
namespace {

// Scores that differ by at most this fraction count as equal.
constexpr double kTieTolerance = 0.05;
// Load up to which a target counts as idle, and the relative increase of the expected latency for
// each unit of load above it.
constexpr double kUncrowdedLoad = 0.6;
constexpr double kCrowdingWeight = 6;

}  // namespace

bool selection_request::Excluded(const target_state& target) const {
  return std::find(excluded.begin(), excluded.end(), target.target.daemon_id) != excluded.end();
}

double selection_request::Score(const target_state& target) const {
  const double load = target.in_flight + target.penalty.At(now);
  const double crowding = std::max(0.0, target.ReportedLoad(now) - kUncrowdedLoad);
  return (load / target.RampFactor(now) + 1) * service.Expected(target, now) *
         (1 + kCrowdingWeight * crowding);
}

target_state* selection_request::Better(target_state* a, target_state* b) const {
  if (a == nullptr || b == nullptr || a == b) return a == nullptr ? b : a;
  const double score_a = Score(*a);
  const double score_b = Score(*b);
  if (std::abs(score_a - score_b) <= kTieTolerance * std::min(score_a, score_b)) {
    return b->target.announced_load < a->target.announced_load ? b : a;
  }
  return score_b < score_a ? b : a;
}

}  // namespace teaseljunction
