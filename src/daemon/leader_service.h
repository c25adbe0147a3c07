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
#include "shares/token_allocator.h"

namespace teaseljunction {

/// Answers the syncs of all daemons while this control member is the leader. The directory, the
/// token buckets and the suspects are kept in memory and start empty in each term. Thread-safe,
/// with a separate lock for each of them.
class leader_service {
 public:
  /// `planner` holds the settings for automatic changes of the control group's members. References
  /// must outlive the service.
  leader_service(const clock_source& clock, control_member& member, peer_client& peers,
                 const manifest_decoder& decode, const membership_planner_settings& planner,
                 const rate_tolerance& tolerance);

  /// Asks all daemons to sync, so that they fetch a newly accepted manifest at once. Does nothing
  /// unless this member is the leader.
  void RequestSyncs();

  /// Answers one sync. `from_leader` is false in the response when this member does not hold the
  /// leader's lease.
  sync_response Sync(const sync_request& request);

  /// Proposes the next change of the control group, if one is due. Called with each heartbeat of
  /// this member, because a sync may come a second later. Does nothing unless this member is the
  /// leader.
  void PlanMembers();

 private:
  bool StartTermIfNew(absl::Time now);
  directory_update UpdateDirectory(const sync_request& request, absl::Time now,
                                   uint64_t& newer_incarnation);
  std::vector<token_grant> Grant(const sync_request& request, absl::Time now);
  // Returns the suspects, and proposes to quarantine requests that crashed several targets.
  std::vector<std::string> ProcessCrashReports(const sync_request& request, absl::Time now);
  // Records the control member of a daemon and proposes the next change of the group, if one is
  // due. Returns the addresses of all control members, or none while a change is not committed.
  std::vector<std::string> RecordMember(const daemon_announcement& daemon, absl::Time now);
  // Proposes the next change of a group whose last change is committed.
  void PlanNextChange(const control_status& status, std::string reporter, absl::Time now);
  // Proposes a change of the group, and asks the daemon at `reporter` to sync once it is made.
  void ProposeChange(command change, std::string reporter);
  // Returns the compressed content of a manifest. Compresses each manifest once.
  std::shared_ptr<const std::string> CompressedContent(const manifest_record& manifest);
  void UpdateAccounts(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(tokens_mutex_);

  const clock_source& clock_;
  control_member& member_;
  peer_client& peers_;
  const manifest_decoder& decode_;
  const rate_tolerance tolerance_;

  absl::Mutex term_mutex_;
  uint64_t term_ ABSL_GUARDED_BY(term_mutex_) = 0;

  absl::Mutex directory_mutex_ ABSL_ACQUIRED_AFTER(term_mutex_);
  daemon_directory directory_ ABSL_GUARDED_BY(directory_mutex_);

  absl::Mutex tokens_mutex_ ABSL_ACQUIRED_AFTER(term_mutex_);
  token_allocator tokens_ ABSL_GUARDED_BY(tokens_mutex_);
  uint64_t accounts_version_ ABSL_GUARDED_BY(tokens_mutex_) = 0;

  absl::Mutex planner_mutex_ ABSL_ACQUIRED_AFTER(term_mutex_);
  membership_planner planner_ ABSL_GUARDED_BY(planner_mutex_);

  absl::Mutex compression_mutex_;
  std::string compressed_digest_ ABSL_GUARDED_BY(compression_mutex_);
  std::shared_ptr<const std::string> compressed_content_ ABSL_GUARDED_BY(compression_mutex_);

  absl::Mutex crash_mutex_ ABSL_ACQUIRED_AFTER(term_mutex_);
  crash_tracker crashes_ ABSL_GUARDED_BY(crash_mutex_);
};

}  // namespace teaseljunction
