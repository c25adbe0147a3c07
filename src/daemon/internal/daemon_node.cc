#include "daemon/daemon_node.h"

#include <utility>

namespace teaseljunction {

daemon_node::daemon_node(const clock_source& clock, target_executor& executor,
                         active_manifest& config, sync_loop& sync, control_member* member,
                         leader_service* leader)
    : clock_(clock),
      executor_(executor),
      config_(config),
      sync_(sync),
      member_(member),
      leader_(leader) {}

std::shared_ptr<call_execution> daemon_node::Execute(
    call request, absl::AnyInvocable<void(execute_result)> completion) {
  return executor_.Execute(std::move(request), std::move(completion));
}

void daemon_node::Sync(sync_request request, absl::AnyInvocable<void(sync_response)> completion) {
  completion(leader_ == nullptr ? sync_response{} : leader_->Sync(request));
}

void daemon_node::Propose(command proposal, absl::AnyInvocable<void(propose_response)> completion) {
  if (member_ == nullptr) {
    propose_response response;
    response.result.failure = {error_kind::kNotLeader, "This daemon is not a control member."};
    completion(std::move(response));
    return;
  }
  member_->Propose(std::move(proposal), std::move(completion));
}

void daemon_node::HandleRaftMessage(std::string message) {
  if (member_ != nullptr) member_->Receive(std::move(message));
}

manifest_record daemon_node::Manifest() {
  const auto index = config_.Latest();
  if (index == nullptr) return {};
  return {index->Manifest().version, index->Digest(), index->Content()};
}

absl::optional<manifest_record> daemon_node::AcceptedManifest() {
  if (member_ == nullptr || !member_->HoldsLease(clock_.Now())) return absl::nullopt;
  return *member_->CurrentManifest();
}

void daemon_node::RequestSync() { sync_.RequestSync(); }

status_report daemon_node::Status() {
  status_report report;
  report.daemon = sync_.Announcement();
  report.directory = sync_.Directory();
  if (const auto index = config_.Latest()) {
    report.manifest_version = index->Manifest().version;
    report.manifest_digest = index->Digest();
  }
  report.configuration_fresh = config_.Confirmed(clock_.Now()) != nullptr;
  const target_executor_status executor = executor_.Status();
  report.calls_running = executor.running;
  report.calls_queued = executor.queued;
  report.concurrency_limit = executor.concurrency_limit;
  if (member_ == nullptr) return report;
  const control_status control = member_->Status();
  report.is_control_member = true;
  report.role = control.role;
  report.term = control.term;
  report.commit_index = control.commit_index;
  report.leader_address = control.leader_address;
  report.control_members = control.members;
  return report;
}

}  // namespace teaseljunction
