#pragma once

#include <memory>
#include <string>

#include "control/control_member.h"
#include "daemon/leader_service.h"
#include "daemon/sync_loop.h"
#include "gateway/active_manifest.h"
#include "gateway/target_executor.h"
#include "rpc/node_service.h"

namespace teaseljunction {

/// Implements the RPC service that this daemon offers to other daemons; the operators' interface
/// uses it as well. Thread-safe.
class daemon_node : public node_service {
 public:
  /// `member` and `leader` are null when this daemon is not a control member. All arguments must
  /// outlive the object.
  daemon_node(const clock_source& clock, target_executor& executor, active_manifest& config,
              sync_loop& sync, control_member* member, leader_service* leader);

  std::shared_ptr<call_execution> Execute(
      call request, absl::AnyInvocable<void(execute_result)> completion) override;
  void Sync(sync_request request, absl::AnyInvocable<void(sync_response)> completion) override;
  void Propose(command proposal, absl::AnyInvocable<void(propose_response)> completion) override;
  void HandleRaftMessage(std::string message) override;
  manifest_record Manifest() override;
  status_report Status() override;
  absl::optional<manifest_record> AcceptedManifest() override;
  void RequestSync() override;

 private:
  const clock_source& clock_;
  target_executor& executor_;
  active_manifest& config_;
  sync_loop& sync_;
  control_member* const member_;
  leader_service* const leader_;
};

}  // namespace teaseljunction
