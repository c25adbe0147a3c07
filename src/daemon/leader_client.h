#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "common/clock_source.h"
#include "common/scheduler.h"
#include "gateway/control_client.h"
#include "rpc/peer_client.h"

namespace teaseljunction {

/// Finds the address of the control group's leader. Thread-safe.
class leader_locator {
 public:
  /// `seeds` are the addresses of control members from the settings.
  explicit leader_locator(std::vector<std::string> seeds) : seeds_(std::move(seeds)) {}

  /// Replaces the addresses from the settings.
  void SetSeeds(std::vector<std::string> seeds);

  /// Replaces the control members' addresses reported by the leader. They are tried before the
  /// seeds.
  void SetMembers(const std::vector<std::string>& members);

  /// Returns whether the leader has last reported control members and `address` is none of them.
  bool IsFormerMember(absl::string_view address) const;

  /// Returns the address to try next; empty when no address is known.
  std::string Address() const;

  /// Records that `address` is not the leader. `hint` is the leader's address according to it, or
  /// empty.
  void NotLeader(const std::string& address, const std::string& hint);

 private:
  // Returns all known addresses, those reported by the leader first.
  std::vector<std::string> KnownAddresses() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::vector<std::string> seeds_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::string> members_ ABSL_GUARDED_BY(mutex_);
  std::string hint_ ABSL_GUARDED_BY(mutex_);
  size_t next_index_ ABSL_GUARDED_BY(mutex_) = 0;
};

/// Proposes commands to the leader, and retries while the leader changes or cannot be reached.
/// Thread-safe.
class leader_client : public control_client {
 public:
  leader_client(const clock_source& clock, scheduler& timers, peer_client& peers,
                leader_locator& locator);

  /// Runs `done` exactly once, by about `deadline`. Errors: kNoQuorum when the command was
  /// certainly not committed, kCommitUnknown when it may have been.
  void Propose(command proposal, absl::Time deadline,
               absl::AnyInvocable<void(outcome<command_result>)> done) override;

 private:
  struct proposal_state {
    command proposal;
    absl::Time deadline;
    absl::AnyInvocable<void(outcome<command_result>)> done;
    // True once an attempt ended without an answer on whether the command was committed.
    bool may_be_committed = false;
  };

  void SendProposal(std::shared_ptr<proposal_state> state);
  void OnResponse(std::shared_ptr<proposal_state> state, const std::string& address,
                  outcome<propose_response> response);
  void RetryLater(std::shared_ptr<proposal_state> state);

  const clock_source& clock_;
  scheduler& timers_;
  peer_client& peers_;
  leader_locator& locator_;
};

}  // namespace teaseljunction
