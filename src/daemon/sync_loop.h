#pragma once

#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"
#include "daemon/leader_client.h"
#include "daemon/settings.h"
#include "gateway/account_rate_limiter.h"
#include "gateway/active_manifest.h"
#include "gateway/quarantine_registry.h"
#include "gateway/target_executor.h"
#include "gateway/target_selector.h"
#include "manifest/manifest_format.h"
#include "membership/directory_view.h"

namespace teaseljunction {

/// Dependencies of the sync loop. All must outlive it.
struct sync_dependencies {
  const clock_source& clock;
  scheduler& timers;
  peer_client& peers;
  leader_locator& locator;
  active_manifest& config;
  account_rate_limiter& accounts;
  target_selector& targets;
  target_executor& executor;
  quarantine_registry& quarantine;
  const manifest_decoder& decode;
};

/// Synchronises this daemon with the leader. A sync sends the daemon's announcement, token demands
/// and crash reports, and applies the manifest, the directory, the token grants and the quarantine
/// list of the response. Regular syncs are sent every second, and only one is in flight at a time.
/// Thread-safe.
class sync_loop {
 public:
  /// `settings` must outlive the sync loop. `incarnation` identifies this run of the daemon; it is
  /// raised when the leader knows a later one.
  sync_loop(const sync_dependencies& dependencies, const daemon_settings& settings,
            uint64_t incarnation);

  /// Sends the first sync and continues until `Stop`.
  void Start();

  /// Requests a sync before the next regular one. Syncs are limited to ten per second on average,
  /// in bursts of up to ten, so that calls wait only briefly when traffic starts.
  void RequestSync();

  /// Announces the planned shutdown in all further syncs, and requests one.
  void BeginDrain();

  /// Prevents further syncs. Does not wait for one that is in flight.
  void Stop();

  /// Returns the daemons in this daemon's copy of the directory.
  std::vector<daemon_announcement> Directory();

  /// Returns the current announcement of this daemon.
  daemon_announcement Announcement();

  /// Sets the id of the control member in this daemon, which the announcements contain.
  void SetControlMember(uint64_t member_id);

  /// Sets a callback that runs after each new manifest was put in force. Must be called before
  /// `Start`.
  void SetManifestCallback(absl::AnyInvocable<void(const manifest_index&)> callback);

 private:
  // Returns the earliest time at which the rate limit allows another sync.
  absl::Time EarliestSync(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ScheduleAt(absl::Time when) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Send();
  sync_request BuildRequest();
  // Treats the leader as unreachable when the sync `number` has no response yet.
  void CheckResponse(uint64_t number);
  void OnResponse(const std::string& address, absl::Time sent_at, outcome<sync_response> response);
  void Apply(const sync_response& response, uint64_t known_quarantine_size, absl::Time sent_at);
  // Returns false when the manifest could not be put in force.
  bool ApplyManifest(const manifest_record& record);
  void ApplyDirectory(const directory_update& update);

  const sync_dependencies deps_;
  const daemon_settings& settings_;
  absl::AnyInvocable<void(const manifest_index&)> on_manifest_;

  absl::Mutex mutex_;
  directory_view directory_ ABSL_GUARDED_BY(mutex_);
  bool in_flight_ ABSL_GUARDED_BY(mutex_) = false;
  // Number of the latest sync that was sent.
  uint64_t sync_number_ ABSL_GUARDED_BY(mutex_) = 0;
  bool sync_requested_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t incarnation_ ABSL_GUARDED_BY(mutex_);
  bool draining_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t control_member_id_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time last_sent_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  // Time at which a full burst of syncs is allowed again.
  absl::Time burst_replenished_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  absl::Time scheduled_for_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
  uint64_t timer_id_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t sent_quarantine_size_ ABSL_GUARDED_BY(mutex_) = 0;
  // Crash reports that no successful sync has delivered yet, and when they were collected.
  std::vector<std::pair<crash_report, absl::Time>> unsent_reports_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction
