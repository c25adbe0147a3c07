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

/// Announces the stand-in to the daemon beside it once a second. Thread-safe.
class announcer {
 public:
  /// Returns what to announce now; `draining` is set by the announcer.
  using announcement_source = std::function<standin_announcement()>;

  announcer(std::string daemon_address, announcement_source source);
  ~announcer();
  announcer(const announcer&) = delete;
  announcer& operator=(const announcer&) = delete;

  /// Announces from now on that the target is draining, beginning at once.
  void StartDraining();

 private:
  void Run();
  void Announce(bool draining);

  const std::string daemon_address_;
  const announcement_source source_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool draining_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // Status of the last announcement, so that only changes are logged.
  int last_status_ ABSL_GUARDED_BY(mutex_) = -1;
  daemon_client client_;
  std::thread thread_;
};

}  // namespace teaseljunction
