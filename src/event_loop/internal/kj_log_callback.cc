#include "event_loop/kj_log_callback.h"

#include "common/log.h"

namespace teaseljunction {

void kj_log_callback::logMessage(kj::LogSeverity, const char*, int, int, kj::String&& text) {
  const auto suppressed = limiter_.Allow();
  if (suppressed) {
    LOG(WARNING) << "kj: " << text.cStr() << " (" << *suppressed << " messages suppressed)";
  }
}

}  // namespace teaseljunction
