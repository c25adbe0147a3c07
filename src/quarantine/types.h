#pragma once

#include <string>

#include "absl/time/time.h"

namespace teaseljunction {

/// Reports that a request was in flight on a target when the target's process crashed, or that a
/// suspected request has completed.
struct crash_report {
  /// Digest of client account, method, path and body.
  std::string fingerprint;
  /// Id of the daemon on the target's host.
  std::string target;
  /// True when the request completed at the target, which clears its earlier crashes.
  bool completed = false;
  /// Time between the crash or the completion and this report.
  absl::Duration age;
};

}  // namespace teaseljunction
