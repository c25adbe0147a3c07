#pragma once

#include <memory>
#include <string>

#include "absl/functional/any_invocable.h"
#include "rpc/types.h"

namespace teaseljunction {

/// Handle of a call that is executed for another daemon. Thread-safe.
class call_execution {
 public:
  virtual ~call_execution() = default;

  /// Cancels the call because its caller has disconnected or cancelled it. The completion may still
  /// run; its result is then ignored.
  virtual void Cancel() = 0;
};

/// Service that a daemon offers to other daemons and to the command-line tool. Methods return at
/// once; each completion runs exactly once, on any thread. Implementations are thread-safe.
class node_service {
 public:
  virtual ~node_service() = default;

  /// Runs a call at the local target of this daemon.
  virtual std::shared_ptr<call_execution> Execute(
      call request, absl::AnyInvocable<void(execute_result)> completion) = 0;

  /// Handles the periodic synchronisation of a daemon with the leader.
  virtual void Sync(sync_request request, absl::AnyInvocable<void(sync_response)> completion) = 0;

  /// Proposes a command for the replicated state. Only the leader accepts it.
  virtual void Propose(command proposal, absl::AnyInvocable<void(propose_response)> completion) = 0;

  /// Handles an encoded Raft message from another control member. There is no response.
  virtual void HandleRaftMessage(std::string message) = 0;

  /// Returns the manifest that is active on this daemon.
  virtual manifest_record Manifest() = 0;

  /// Returns the state of this daemon for operators.
  virtual status_report Status() = 0;

  /// Returns the latest accepted manifest. Returns nothing on a daemon that is not the leader,
  /// which cannot know it for certain.
  virtual absl::optional<manifest_record> AcceptedManifest() = 0;

  /// Requests a synchronisation with the leader before the next regular one.
  virtual void RequestSync() = 0;
};

}  // namespace teaseljunction
