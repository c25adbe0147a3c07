#pragma once

#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"
#include "common/scheduler.h"
#include "daemon/settings.h"
#include "gateway/call_header_names.h"
#include "gateway/target_executor.h"
#include "http/http_client.h"

namespace teaseljunction {

/// Dependencies of the probe. All must outlive it.
struct probe_dependencies {
  const clock_source& clock;
  scheduler& timers;
  http_client& client;
  target_executor& executor;
  const call_header_names& headers;
};

/// Checks the health of the local target when the daemon starts, and passes a healthy target to the
/// executor. Targets announce themselves at intervals of seconds; without the probe, a restarted
/// daemon would refuse calls to its target until the next announcement. The first announcement in
/// turn may have been delayed since before the restart, so it is used only once a probe has found
/// its target. Probing ends with the first response that identifies a healthy target, with the
/// target's own announcement, or after 3 s; it goes on while an announcement waits. Thread-safe.
class target_probe {
 public:
  /// `on_found` runs when the executor has accepted the target. `target` must outlive the probe.
  target_probe(const probe_dependencies& dependencies, const local_target_settings& target,
               absl::AnyInvocable<void()> on_found);

  /// Starts probing `health_path`. Does nothing when probing was started before, or when the
  /// settings contain no address of the target. With an empty path, announcements are used without
  /// a probe.
  void Start(absl::string_view health_path);

  /// Probes for a target whose announcement waits, once the path is known.
  void Resume();

 private:
  void SendProbe();
  void OnResponse(const outcome<http_response>& response, uint64_t revocations);
  // Returns true when the response identifies a target that is used now, or that announces itself.
  bool HandleTarget(const outcome<http_response>& response, uint64_t revocations);
  // Returns the time until the next probe.
  absl::Duration NextInterval() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const probe_dependencies deps_;
  const local_target_settings& target_;
  absl::AnyInvocable<void()> on_found_;
  absl::Mutex mutex_;
  std::string path_ ABSL_GUARDED_BY(mutex_);
  absl::Time probe_deadline_ ABSL_GUARDED_BY(mutex_);
  // True from the sending of a probe until no further one is scheduled.
  bool probing_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Duration interval_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction
