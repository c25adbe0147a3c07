#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

#include "absl/time/time.h"

namespace teaseljunction {

/// Position of a report among all reports of a target, by process and then within the process.
struct report_position {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  auto operator<=>(const report_position&) const = default;
};

/// Tells late reports from current ones by their positions. A report before the latest position is
/// late. When such reports keep arriving for two leases, with no report at the latest position,
/// they come from a running process, and the latest position was wrong: from another writer or from
/// a clock that has since been set back. The order then continues with them. Not thread-safe.
class report_order {
 public:
  /// A position that is not reported for `lease` is no longer current.
  explicit report_order(absl::Duration lease) : lease_(lease) {}

  /// Returns whether a report at `position` that arrives at `now` is current.
  bool Accept(report_position position, absl::Time now);

  /// Rules out reports before `position`, unless a later position is known.
  void Raise(report_position position);

  /// Returns the latest position.
  const report_position& Latest() const { return latest_; }

  /// Returns the time of the last report, late or not.
  absl::Time LastReport() const { return std::max(accepted_at_, late_until_); }

 private:
  // Records a late report. Returns whether the late reports come from a running process.
  bool RecordLate(report_position position, absl::Time now);

  absl::Duration lease_;
  report_position latest_;
  absl::Time accepted_at_ = absl::InfinitePast();
  // The late reports of one process that arrived with gaps of at most one lease.
  report_position late_;
  absl::Time late_since_ = absl::InfinitePast();
  absl::Time late_until_ = absl::InfinitePast();
  // Wrong position that was given up. Reports at this position are refused.
  report_position given_up_;
};

}  // namespace teaseljunction
