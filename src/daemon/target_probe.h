#pragma once

#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"
#include "common/scheduler.h"
#include "daemon/settings.h"
#include "gateway/call_headers.h"
#include "gateway/target_executor.h"
#include "http/http_client.h"

namespace teaseljunction {

/// What the probe works with. All parts outlive it.
struct probe_ports {
  const clock_source& clock;
  scheduler& timers;
  http_client& client;
  target_executor& executor;
  const call_headers& headers;
};

/// Asks the local target whether it is healthy when the daemon has started, and hands it to the
/// executor. Targets announce themselves at intervals of seconds; without the probe a restarted
/// daemon would refuse their calls until then. Ends with the first answer that names a target, with
/// the target's own announcement, or after some seconds. Thread-safe.
class target_probe {
 public:
  /// `on_found` runs when a target was handed over.
  target_probe(const probe_ports& ports, const local_target_settings& target,
               absl::AnyInvocable<void()> on_found);

  /// Begins to probe at `health_path`. Does nothing when it began before, without a path, and
  /// without an address in the settings.
  void Start(absl::string_view health_path);

 private:
  void Ask();
  void OnAnswer(const outcome<http_response>& answer);
  // Returns the target that the answer names, or nothing when it must not be used.
  absl::optional<target_announcement> TargetOf(const outcome<http_response>& answer) const;

  const probe_ports ports_;
  const local_target_settings& target_;
  absl::AnyInvocable<void()> on_found_;
  absl::Mutex mutex_;
  std::string path_ ABSL_GUARDED_BY(mutex_);
  absl::Time give_up_at_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction
