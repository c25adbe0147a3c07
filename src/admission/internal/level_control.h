#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/types.h"

namespace teaseljunction {

/// What was observed at a target since the last step of `level_control`.
struct load_sample {
  /// Average part of the concurrency limit that was in use.
  double utilization = 0;
  /// Per priority, whether its calls wait for longer than the target value all the time.
  std::array<bool, kPriorityCount> standing = {};
  absl::Duration mean_service_time;
};

/// Computes the overload level of a target.
///
/// The admitted rate is one number. During a standing queue it follows the rate at which the target
/// finishes calls; otherwise it grows until the target is just busy. The rate is divided over the
/// offered calls by priority, then by max-min fairness over accounts, which gives the level of each
/// account. Offered rates are estimated from the cohorts that an account's level lets through,
/// because entry daemons refuse the others. A priority is cut only while its own calls or more
/// important ones have a standing queue.
class level_control {
 public:
  level_control();

  /// Counts an arriving call, admitted or not.
  void OnArrival(absl::string_view account, request_priority priority, uint8_t cohort,
                 absl::Time now);

  /// Counts a call that the target has finished.
  void OnFinish() { ++finished_; }

  /// Moves the levels. Should be called about every 50 ms.
  void Step(const load_sample& sample, absl::Time now);

  /// Admits everything, as before the first call.
  void Reset();

  overload_level Level(absl::Time now) const;
  overload_level LevelFor(absl::string_view account, absl::Time now) const;

  /// True when all calls are admitted and no overload is remembered.
  bool Open() const { return !limited_; }

 private:
  /// A level as one number: priority * kCohortCount + cohort.
  using position = double;

  struct account_state {
    position level = 0;
    /// Estimated calls per second that callers send.
    std::array<double, kPriorityCount> offered = {};
    /// Arrivals since the last step, and those of them that the level admits.
    std::array<uint32_t, kPriorityCount> arrived = {};
    std::array<uint32_t, kPriorityCount> admitted = {};
    absl::Time last_arrival;
  };

  /// Division of the rate of one priority over accounts, in calls per second.
  struct fair_division {
    /// Accounts that offer at most this are admitted in full.
    double protected_rate = 0;
    /// What each other account may send.
    double excess_part = 0;
  };

  bool Stale(absl::Time now) const;
  position HighestLevel() const;
  void UpdateOffered(account_state& account, double seconds);
  void UpdateStanding(const load_sample& sample, absl::Time now);
  void UpdateRate(const load_sample& sample, double seconds, absl::Time now);
  void RaiseRate(const load_sample& sample, double seconds);
  /// Returns the first position that may be cut now.
  position Floor(absl::Time now) const;
  void MoveLevels(const load_sample& sample, absl::Time now);
  /// Returns how many calls per second of `priority` each account may send when all accounts may
  /// send `rate` together.
  double FairPart(size_t priority, double rate) const;
  fair_division Divide(size_t priority, double rate) const;

  absl::flat_hash_map<std::string, account_state> accounts_;
  uint32_t finished_ = 0;
  /// Smoothed calls per second that the target finishes while it is busy.
  double capacity_ = 0;
  /// Admitted calls per second. Without effect unless `limited_`.
  double admitted_rate_ = 0;
  bool limited_ = false;
  absl::Time last_step_ = absl::InfinitePast();
  absl::Time last_overload_ = absl::InfinitePast();
  /// Per priority, when it last had a standing queue, and since when without a pause.
  std::array<absl::Time, kPriorityCount> last_standing_;
  std::array<absl::Time, kPriorityCount> standing_since_;
};

}  // namespace teaseljunction
