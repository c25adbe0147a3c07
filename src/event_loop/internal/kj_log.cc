#include "event_loop/kj_log.h"

#include "common/log.h"

namespace teaseljunction {

void kj_log::logMessage(kj::LogSeverity, const char*, int, int, kj::String&& text) {
  const auto left_out = limiter_.Allow();
  if (left_out) LOG(WARNING) << "event loop: " << text.cStr() << " (" << *left_out << " left out)";
}

}  // namespace teaseljunction
