#pragma once

#include "absl/time/time.h"
#include "absl/types/optional.h"

namespace teaseljunction {

/// What one daemon knows about the targets of a service in its own and in all other data centres.
struct spill_inputs {
  /// Mean reported loads; unset when no target has a report that has not expired.
  absl::optional<double> local_load;
  absl::optional<double> remote_load;
  /// Expected latencies in seconds, above 0.
  double local_latency = 0;
  double remote_latency = 0;
};

/// Controls the remote share of a service: the fraction of its calls that go to other data centres.
/// The share follows a load difference and its integral, and is a fraction of the daemon's own
/// calls, so many daemons that see one figure react together as one daemon that makes all of their
/// calls would. Not thread-safe.
class spill_control {
 public:
  /// Advances the share to `now`. Does nothing when the last update was less than 20 ms ago.
  void Update(const spill_inputs& inputs, absl::Time now);

  /// Returns true when the next `Update` advances the share.
  bool UpdateDue(absl::Time now) const;

  /// Returns the remote share, 0 to 0.95.
  double Share() const { return share_; }

  /// Returns the inputs of the last update.
  const spill_inputs& Inputs() const { return inputs_; }

  /// Returns true when the share has changed by more than 0.1 since this function last returned
  /// true, which is at least one second ago.
  bool TakeLogDue(absl::Time now);

 private:
  double share_ = 0;
  double integral_ = 0;
  spill_inputs inputs_;
  absl::Time updated_at_ = absl::InfinitePast();
  double logged_share_ = 0;
  absl::Time logged_at_ = absl::InfinitePast();
};

}  // namespace teaseljunction
