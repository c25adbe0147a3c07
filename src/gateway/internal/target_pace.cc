#include "gateway/target_pace.h"

#include <algorithm>

namespace teaseljunction {
namespace {

constexpr absl::Duration kPaceLifetime = absl::Seconds(1);
// Numbers of answers that the averages of the service time cover.
constexpr double kRecentAnswers = 20;
constexpr double kUsualAnswers = 2000;
// The pace changes many times a second, and service times show it only when the calls end.
constexpr double kTolerance = 1.5;

}  // namespace

void target_pace::Record(absl::optional<double> reported, absl::Duration service_time,
                         absl::Time now) {
  if (reported) {
    reported_ = reported;
    reported_at_ = now;
  }
  const double seconds = std::max(0.0, absl::ToDoubleSeconds(service_time));
  answers_ = std::min(answers_ + 1, kUsualAnswers);
  usual_ += (seconds - usual_) / answers_;
  recent_ += (seconds - recent_) / std::min(answers_, kRecentAnswers);
}

double target_pace::LoadFactor(absl::Time now) const {
  if (!reported_ || Age(now) > kPaceLifetime || usual_ <= 0) return 1;
  return std::max(1.0, std::min(*reported_, kTolerance * recent_ / usual_));
}

}  // namespace teaseljunction
