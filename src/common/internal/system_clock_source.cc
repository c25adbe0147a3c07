#include <ctime>

#include "common/clock_source.h"

namespace teaseljunction {

absl::Time system_clock_source::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

}  // namespace teaseljunction
