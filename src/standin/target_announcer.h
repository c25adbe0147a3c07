#pragma once

#include <functional>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "standin/daemon_client.h"
#include "standin/standin_json.h"

namespace teaseljunction {

/// Announces the stand-in target to its local daemon once a second, on a thread of its own.
/// Thread-safe.
class target_announcer {
 public:
  /// Returns the current announcement; the announcer sets `draining`. Runs on the announcer's
  /// thread.
  using announcement_source = std::function<standin_announcement()>;

  target_announcer(std::string daemon_address, announcement_source source);
  ~target_announcer();
  target_announcer(const target_announcer&) = delete;
  target_announcer& operator=(const target_announcer&) = delete;

  /// Announces at once, and from then on, that the target is draining.
  void StartDraining();

 private:
  void Run();
  void Announce(bool draining);

  const std::string daemon_address_;
  const announcement_source source_;
  absl::Mutex mutex_;
  absl::CondVar state_changed_;
  bool draining_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // HTTP status of the last announcement, 0 without a response; only changes are logged.
  int last_status_ ABSL_GUARDED_BY(mutex_) = -1;
  daemon_client client_;
  std::thread thread_;
};

}  // namespace teaseljunction
