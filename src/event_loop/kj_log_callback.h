#pragma once

#include <kj/exception.h>

#include "common/log_limiter.h"

namespace teaseljunction {

/// Forwards log messages of the KJ library on the current thread to the log, at a bounded rate.
/// Must be a local variable, because KJ keeps exception callbacks in a stack per thread.
class kj_log_callback : public kj::ExceptionCallback {
 public:
  explicit kj_log_callback(log_limiter& limiter) : limiter_(limiter) {}
  void logMessage(kj::LogSeverity severity, const char* file, int line, int depth,
                  kj::String&& text) override;
  StackTraceMode stackTraceMode() override { return StackTraceMode::NONE; }

 private:
  log_limiter& limiter_;
};

}  // namespace teaseljunction
