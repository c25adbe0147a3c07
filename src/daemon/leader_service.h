#pragma once

#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "common/clock_source.h"
#include "control/control_member.h"
#include "control/membership_planner.h"
#include "daemon/account_rates.h"
#include "manifest/manifest_format.h"
#include "membership/daemon_directory.h"
#include "quarantine/crash_tracker.h"
#include "rpc/peer_client.h"
#include "rpc/types.h"
#include "shares/share_owner.h"

namespace teaseljunction {

/// Answers the syncs of all daemons while this control member is the leader. Its directory, buckets
/// and suspects live in memory and start anew with each term. Thread-safe: directory, buckets and
/// suspects have a lock each.
class leader_service {
 public:
  /// `planner` decides about the members of the control group.
  leader_service(const clock_source& clock, control_member& member, peer_client& peers,
                 const manifest_decoder& decode, const membership_planner_settings& planner,
                 const rate_tolerance& tolerance);

  /// Asks all daemons to sync, because a manifest was accepted here. Does nothing on a member that
  /// is not the leader.
  void AnnounceManifest();

  /// Answers one sync. `from_leader` is false when the lease is not held.
  sync_response Sync(const sync_request& request);

 private:
  bool StartTermIfNew(absl::Time now);
  directory_update UpdateDirectory(const sync_request& request, absl::Time now,
                                   uint64_t& outdated_by);
  std::vector<token_grant> Grant(const sync_request& request, absl::Time now);
  std::vector<std::string> TrackCrashes(const sync_request& request, absl::Time now);
  // Records the control member of a daemon and proposes the next change of the group.
  std::vector<std::string> PlanMembers(const daemon_announcement& daemon, absl::Time now);
  void UpdateAccounts(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(shares_mutex_);

  const clock_source& clock_;
  control_member& member_;
  peer_client& peers_;
  const manifest_decoder& decode_;
  const rate_tolerance tolerance_;

  absl::Mutex term_mutex_;
  uint64_t term_ ABSL_GUARDED_BY(term_mutex_) = 0;

  absl::Mutex directory_mutex_ ABSL_ACQUIRED_AFTER(term_mutex_);
  daemon_directory directory_ ABSL_GUARDED_BY(directory_mutex_);

  absl::Mutex shares_mutex_ ABSL_ACQUIRED_AFTER(term_mutex_);
  share_owner shares_ ABSL_GUARDED_BY(shares_mutex_);
  uint64_t accounts_version_ ABSL_GUARDED_BY(shares_mutex_) = 0;

  absl::Mutex planner_mutex_ ABSL_ACQUIRED_AFTER(term_mutex_);
  membership_planner planner_ ABSL_GUARDED_BY(planner_mutex_);

  absl::Mutex crash_mutex_ ABSL_ACQUIRED_AFTER(term_mutex_);
  crash_tracker crashes_ ABSL_GUARDED_BY(crash_mutex_);
};

}  // namespace teaseljunction
