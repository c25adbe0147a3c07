#pragma once

#include <kj/exception.h>

#include "common/log_limiter.h"

namespace teaseljunction {

/// Sends KJ's own messages on this thread to the log, at a bounded rate. Lives on the stack.
class kj_log : public kj::ExceptionCallback {
 public:
  explicit kj_log(log_limiter& limiter) : limiter_(limiter) {}
  void logMessage(kj::LogSeverity severity, const char* file, int line, int depth,
                  kj::String&& text) override;
  StackTraceMode stackTraceMode() override { return StackTraceMode::NONE; }

 private:
  log_limiter& limiter_;
};

}  // namespace teaseljunction
