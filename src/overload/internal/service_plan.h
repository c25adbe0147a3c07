#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "common/types.h"
#include "overload/types.h"

namespace teaseljunction {

/// Part of `capacity_plan` for one service: the flows of the last second, the share of the
/// service's capacity, and the cut. Flows are in calls per second. Not thread-safe.
class service_plan {
 public:
  /// Ranks are counted in parts of a priority, from the most important one.
  static constexpr size_t kPartsPerPriority = 16;
  static constexpr size_t kRankCount = kPriorityCount * kPartsPerPriority;

  /// Adds a request at the position `rank` (see `RankPosition`) with `calls` calls. Negative calls
  /// take back a request that was added before.
  void AddOffered(double rank, double calls, absl::Time now);
  void AddAdmitted(double calls, absl::Time now);
  /// Adds requests that were admitted in the time up to now, before their calls were known.
  void AddStarted(double rank, double calls, absl::Duration time, absl::Time now);
  /// Adds the calls of a request that has ended; `served` is false if it failed.
  void AddEnded(double calls, bool served, absl::Time now);

  /// Records a reported load.
  void RecordLoad(double load, absl::Time now);

  /// Evaluates the flows if a step has ended.
  void Advance(absl::Time now);

  /// Returns true while the reported load shows a queue.
  bool IsSaturated(absl::Time now) const { return HasLoad(now) && load_ >= 1; }
  bool Admits(double rank) const { return rank < cut_; }
  absl::Duration RoomExpectedIn(double rank) const;

  /// Returns the cut in priorities.
  double Cut() const { return cut_ / kPartsPerPriority; }
  plan_status Status(absl::Time now) const;

  static double RankPosition(request_priority priority, uint8_t cohort) {
    constexpr double cohorts_per_part = static_cast<double>(kCohortCount) / kPartsPerPriority;
    return static_cast<double>(static_cast<size_t>(priority) * kPartsPerPriority) +
           cohort / cohorts_per_part;
  }

 private:
  struct step {
    std::array<double, kRankCount> offered = {};
    double offered_total = 0;
    // Sum of the squares of the calls per request, the variance of `offered_total`.
    double variance = 0;
    double admitted = 0;
    // Flow that the cut was expected to admit. Unlike `admitted`, it does not vary with the
    // arrivals of single requests, of which a daemon may have few.
    double expected_flow = 0;
    double served = 0;
    double ended_requests = 0;
  };
  // Sums of the latest complete steps, without the flows by rank.
  struct window {
    size_t steps = 0;
    double seconds = 0;
    double offered = 0;
    double variance = 0;
    double admitted = 0;
    double expected_flow = 0;
    double served = 0;
    double ended_requests = 0;
    double OfferedRate() const { return offered / seconds; }
    double Deviation() const;
  };

  // 80 steps of 50 ms.
  static constexpr size_t kStepCount = 80;

  const step& StepBefore(size_t age) const {
    return steps_[(current_ + steps_.size() - age) % steps_.size()];
  }
  bool HasLoad(absl::Time now) const;
  window Latest(size_t steps) const;
  window OfferedWindow() const;
  void Rotate(absl::Time now);
  double ServedRate() const;
  double ShareSample() const;
  void UpdateShare(double seconds, absl::Time now);
  void UpdateCut(absl::Time now);
  // Growth of the share per second for the present cut.
  double Growth() const;
  void CutAt(double limit, const window& offered);

  // One more than the complete steps, for the current one.
  std::array<step, kStepCount + 1> steps_ = {};
  size_t current_ = 0;
  size_t complete_steps_ = 0;
  absl::Time step_start_ = absl::InfinitePast();
  double load_ = 0;
  absl::Time load_at_ = absl::InfinitePast();
  double share_ = 0;
  absl::Time share_known_since_ = absl::InfiniteFuture();
  double cut_ = kRankCount;
  absl::Time last_cut_at_ = absl::InfinitePast();
  // At the last evaluation: the offered flow up to the end of each rank, and the admissible flow.
  std::array<double, kRankCount> offered_up_to_ = {};
  double limit_ = 0;
};

}  // namespace teaseljunction
