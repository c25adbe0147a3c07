#pragma once

#include <memory>

#include "common/result.h"
#include "daemon/settings.h"

namespace teaseljunction {

/// The daemon process: all parts, their wiring and their start and stop.
class daemon_process {
 public:
  virtual ~daemon_process() = default;

  /// Begins the planned shutdown. Returns at once; safe to call from any thread, more than once.
  virtual void RequestStop() = 0;

  /// Serves until a stop is requested, then performs the planned shutdown: announces that the
  /// daemon leaves, waits until other daemons have learned of it, finishes all calls, stops.
  /// Returns false when calls were still running at the end of the drain timeout.
  virtual bool Run() = 0;
};

/// Builds the daemon and starts its servers.
class daemon_builder {
 public:
  daemon_builder& WithSettings(daemon_settings settings);

  /// Errors: kSettingInvalid when an address cannot be bound, kStorageFailed.
  result<std::unique_ptr<daemon_process>> Build();

 private:
  daemon_settings settings_;
};

}  // namespace teaseljunction
