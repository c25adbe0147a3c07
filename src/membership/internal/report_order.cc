#include "membership/report_order.h"

namespace teaseljunction {
namespace {

// Longer than the reports of an ended process can keep arriving.
constexpr int kLeasesUntilCurrent = 2;

}  // namespace

bool report_order::Accept(report_position position, absl::Time now) {
  if (given_up_ != report_position() && position == given_up_) return false;
  if (position < latest_) {
    if (!RecordLate(position, now)) return false;
    given_up_ = latest_;
  }
  latest_ = position;
  accepted_at_ = now;
  return true;
}

bool report_order::RecordLate(report_position position, absl::Time now) {
  const bool other_process = position.incarnation != late_.incarnation;
  const bool interrupted = now - late_until_ > lease_;
  if (interrupted || (other_process && position > late_))
    late_since_ = now;
  else if (position < late_)
    return false;
  late_ = position;
  late_until_ = now;
  return now - accepted_at_ >= lease_ && now - late_since_ >= kLeasesUntilCurrent * lease_;
}

void report_order::Raise(report_position position) { latest_ = std::max(latest_, position); }

}  // namespace teaseljunction
