#pragma once

#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"
#include "daemon/leader_client.h"
#include "daemon/settings.h"
#include "gateway/account_limiter.h"
#include "gateway/configuration.h"
#include "gateway/quarantine_registry.h"
#include "gateway/target_executor.h"
#include "gateway/target_selector.h"
#include "manifest/manifest_format.h"
#include "membership/directory_view.h"

namespace teaseljunction {

/// What the sync loop works with. All parts outlive it.
struct sync_ports {
  const clock_source& clock;
  scheduler& timers;
  peer_client& peers;
  leader_locator& locator;
  configuration& config;
  account_limiter& accounts;
  target_selector& targets;
  target_executor& executor;
  quarantine_registry& quarantine;
  const manifest_decoder& decode;
};

/// Keeps this daemon in step with the leader: sends the announcement and the demands, and applies
/// the manifest, the directory, the grants and the quarantine list. One sync is in flight at a
/// time. Thread-safe.
class sync_loop {
 public:
  sync_loop(const sync_ports& ports, const daemon_settings& settings, uint64_t incarnation);

  /// Sends the first sync and goes on until `Stop`.
  void Start();

  /// Asks for a sync before the next regular one. Syncs are sent ten times a second on average, and
  /// up to ten follow each other quickly, so that calls wait little when traffic starts.
  void RequestSync();

  /// Announces the planned shutdown from the next sync on.
  void BeginDrain();

  /// Sends no further sync.
  void Stop();

  /// Returns the directory as this daemon knows it.
  std::vector<daemon_announcement> Directory();

  /// Returns the announcement of this daemon.
  daemon_announcement Announcement();

  /// Sets the id of the control member in this daemon, which is told to the leader.
  void SetControlMember(uint64_t member_id);

  /// Runs after each new manifest was put in force.
  void OnManifest(absl::AnyInvocable<void(const manifest_index&)> callback);

 private:
  absl::Time EarliestSync(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ScheduleAt(absl::Time when) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Send();
  sync_request BuildRequest();
  // Counts the leader as lost when the sync `number` has no answer yet.
  void CheckAnswer(uint64_t number);
  void OnResponse(const std::string& address, absl::Time sent_at, outcome<sync_response> response);
  void Apply(const sync_response& response, uint64_t known_quarantine, absl::Time sent_at);
  bool ApplyManifest(const manifest_record& record);
  void ApplyDirectory(const directory_update& update);

  const sync_ports ports_;
  const daemon_settings& settings_;
  absl::AnyInvocable<void(const manifest_index&)> on_manifest_;

  absl::Mutex mutex_;
  directory_view directory_ ABSL_GUARDED_BY(mutex_);
  bool in_flight_ ABSL_GUARDED_BY(mutex_) = false;
  // Number of the last sync that was sent.
  uint64_t sync_number_ ABSL_GUARDED_BY(mutex_) = 0;
  bool requested_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t incarnation_ ABSL_GUARDED_BY(mutex_);
  bool draining_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t control_member_id_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time last_sent_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  // Time at which the allowance of quick syncs is full again.
  absl::Time allowance_full_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  absl::Time scheduled_for_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
  uint64_t timer_id_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t sent_quarantine_size_ ABSL_GUARDED_BY(mutex_) = 0;
  // Reports that no sync has delivered yet, and when they were collected.
  std::vector<std::pair<crash_report, absl::Time>> unsent_reports_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction
