#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/types.h"

namespace teaseljunction {

/// Load of a target since the last step of `level_control`.
struct load_sample {
  /// Average fraction of the concurrency limit that was in use, 0 to 1.
  double utilization = 0;
  /// Per priority, whether it has a standing queue. See `standing_queue_detector`.
  std::array<bool, kPriorityCount> standing_queue = {};
  /// Zero when unknown.
  absl::Duration mean_service_time;
};

/// Computes the overload level of a target, per client account.
///
/// A single admitted rate is controlled. During a standing queue it follows the rate at which the
/// target finishes calls; otherwise it grows until the target is just fully used. The rate is
/// divided over the offered calls by priority, then by max-min fairness over accounts, which gives
/// the level of each account. Offered rates are extrapolated from the cohorts that an account's
/// level admits, because entry daemons refuse the others. A priority is cut only while it or a more
/// important one has a standing queue. Not thread-safe.
class level_control {
 public:
  level_control();

  /// Counts an arriving call, whether or not it is admitted.
  void OnArrival(absl::string_view account, request_priority priority, uint8_t cohort,
                 absl::Time now);

  /// Counts a call that the target has finished.
  void OnFinish() { ++finished_; }

  /// Updates the levels. Should be called about every 50 ms; after more than 1 s without a step,
  /// everything is admitted again.
  void Step(const load_sample& sample, absl::Time now);

  /// Returns to the initial state, in which everything is admitted.
  void Reset();

  /// Returns the highest level of all accounts.
  overload_level Level(absl::Time now) const;
  /// Returns the level of one account, or the highest level when the account is unknown.
  overload_level LevelFor(absl::string_view account, absl::Time now) const;

  /// Returns true when all calls are admitted and the hold time after an overload is over.
  bool Open() const { return !limited_; }

 private:
  /// A level as one number: priority * kCohortCount + cohort. A higher level admits more calls.
  using level_value = double;

  struct account_state {
    level_value level = 0;
    /// Estimated calls per second that callers send, per priority.
    std::array<double, kPriorityCount> offered = {};
    /// Arrivals since the last step, and those among them that the level admits, per priority.
    std::array<uint32_t, kPriorityCount> arrived = {};
    std::array<uint32_t, kPriorityCount> admitted = {};
    absl::Time last_arrival;
  };

  /// Division of the rate of one priority among accounts, in calls per second.
  struct fair_division {
    /// Accounts that offer at most this are admitted in full.
    double protected_rate = 0;
    /// Rate that each other account may send.
    double excess_share = 0;
  };

  bool Stale(absl::Time now) const;
  level_value HighestLevel() const;
  void UpdateOffered(account_state& account, double seconds);
  void UpdateStanding(const load_sample& sample, absl::Time now);
  void UpdateRate(const load_sample& sample, double seconds, absl::Time now);
  void RaiseRate(const load_sample& sample, double seconds);
  /// Returns the lowest level that an account may have now.
  level_value LevelFloor(absl::Time now) const;
  void UpdateLevels(const load_sample& sample, absl::Time now);
  /// Returns the max-min fair share of an account, in calls per second, when all accounts together
  /// may send `rate` calls per second of `priority`.
  double FairShare(size_t priority, double rate) const;
  fair_division DivideRate(size_t priority, double rate) const;

  absl::flat_hash_map<std::string, account_state> accounts_;
  uint32_t finished_ = 0;
  /// Smoothed rate at which the target finishes calls while it is fully used, in calls per second.
  double capacity_ = 0;
  /// Admitted calls per second. Has an effect only while `limited_`.
  double admitted_rate_ = 0;
  bool limited_ = false;
  absl::Time last_step_ = absl::InfinitePast();
  absl::Time last_overload_ = absl::InfinitePast();
  /// Per priority, when it last had a standing queue, and when its current one began.
  std::array<absl::Time, kPriorityCount> last_standing_;
  std::array<absl::Time, kPriorityCount> standing_since_;
};

}  // namespace teaseljunction
