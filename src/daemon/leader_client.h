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

/// Address of the control group's leader as far as this daemon knows it. Thread-safe.
class leader_locator {
 public:
  explicit leader_locator(std::vector<std::string> seeds) : seeds_(std::move(seeds)) {}

  /// Replaces the addresses from the settings.
  void SetSeeds(std::vector<std::string> seeds);

  /// Replaces the addresses that the leader told. They are tried before the seeds.
  void SetMembers(const std::vector<std::string>& members);

  /// Returns the address to try next.
  std::string Address() const;

  /// Records that `address` was not the leader. `hint` is the address it named, or empty.
  void NotLeader(const std::string& address, const std::string& hint);

 private:
  // Returns all known addresses, those of members first.
  std::vector<std::string> Known() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::vector<std::string> seeds_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::string> members_ ABSL_GUARDED_BY(mutex_);
  std::string hint_ ABSL_GUARDED_BY(mutex_);
  size_t next_ ABSL_GUARDED_BY(mutex_) = 0;
};

/// Proposes commands to the leader and follows leader changes. Thread-safe.
class leader_client : public control_client {
 public:
  leader_client(const clock_source& clock, scheduler& timers, peer_client& peers,
                leader_locator& locator);

  void Propose(command proposal, absl::Time deadline,
               absl::AnyInvocable<void(outcome<command_result>)> done) override;

 private:
  struct proposal_state {
    command proposal;
    absl::Time deadline;
    absl::AnyInvocable<void(outcome<command_result>)> done;
    // True once an attempt ended without telling whether the command was committed.
    bool unknown = false;
  };

  void Try(std::shared_ptr<proposal_state> state);
  void OnResponse(std::shared_ptr<proposal_state> state, const std::string& address,
                  outcome<propose_response> response);
  void TryLater(std::shared_ptr<proposal_state> state);

  const clock_source& clock_;
  scheduler& timers_;
  peer_client& peers_;
  leader_locator& locator_;
};

}  // namespace teaseljunction
