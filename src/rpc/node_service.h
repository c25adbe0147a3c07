#pragma once

#include <memory>
#include <string>

#include "absl/functional/any_invocable.h"
#include "rpc/types.h"

namespace teaseljunction {

/// Handle of a call that is executed for another daemon.
class execution {
 public:
  virtual ~execution() = default;

  /// Stops the call because its caller has gone. The completion may still run, and is then ignored.
  virtual void Cancel() = 0;
};

/// What a daemon offers to other daemons and to the command-line tool. Every method returns at once
/// and runs its completion exactly once, on any thread. Implementations are thread-safe.
class node_service {
 public:
  virtual ~node_service() = default;

  /// Runs a call at the target beside this daemon.
  virtual std::shared_ptr<execution> Execute(
      call request, absl::AnyInvocable<void(execute_result)> completion) = 0;

  virtual void Sync(sync_request request, absl::AnyInvocable<void(sync_response)> completion) = 0;

  virtual void Propose(command proposal, absl::AnyInvocable<void(propose_response)> completion) = 0;

  /// Passes on an encoded message between control members. Sent without a response.
  virtual void Raft(std::string message) = 0;

  /// Returns the manifest that this daemon has in force.
  virtual manifest_record Manifest() = 0;

  virtual status_report Status() = 0;

  /// Returns the newest accepted manifest, or nothing on a daemon that is not the leader and so
  /// does not know it for certain.
  virtual absl::optional<manifest_record> AcceptedManifest() = 0;

  /// Syncs with the leader soon.
  virtual void Refresh() = 0;
};

}  // namespace teaseljunction
