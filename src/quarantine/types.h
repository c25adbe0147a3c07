#pragma once

#include <string>

#include "absl/time/time.h"

namespace teaseljunction {

/// Reports that a request was in flight on a target when the target's process was lost, or that a
/// suspect has completed.
struct crash_report {
  /// Digest of account, method, path and body.
  std::string fingerprint;
  /// Daemon id of the daemon beside the target.
  std::string target;
  /// True when the request completed at the target, which clears it.
  bool completed = false;
  /// Time between the crash or the completion and this report.
  absl::Duration age;
};

}  // namespace teaseljunction
