#include "rpc/internal/node_impl.h"

namespace teaseljunction {

kj::Promise<void> node_impl::execute(ExecuteContext context) {
  call request = Decode(context.getParams());
  context.releaseParams();
  context.allowCancellation();
  incoming_calls_.RecordExecution();
  return incoming_calls_.Dispatch<execute_result>(
      [&](absl::AnyInvocable<void(execute_result)> done) {
        return service_.Execute(std::move(request), std::move(done));
      },
      [context](const execute_result& result) mutable {
        Encode(result, context.initResults(SizeHint(result)));
      });
}

kj::Promise<void> node_impl::sync(SyncContext context) {
  sync_request request = Decode(context.getParams());
  context.releaseParams();
  context.allowCancellation();
  return incoming_calls_.Dispatch<sync_response>(
      [&](absl::AnyInvocable<void(sync_response)> done) {
        service_.Sync(std::move(request), std::move(done));
        return nullptr;
      },
      [context](const sync_response& result) mutable {
        Encode(result, context.initResults(SizeHint(result)));
      });
}

kj::Promise<void> node_impl::propose(ProposeContext context) {
  command proposal = Decode(context.getParams());
  context.releaseParams();
  context.allowCancellation();
  return incoming_calls_.Dispatch<propose_response>(
      [&](absl::AnyInvocable<void(propose_response)> done) {
        service_.Propose(std::move(proposal), std::move(done));
        return nullptr;
      },
      [context](const propose_response& result) mutable {
        Encode(result, context.initResults(SizeHint(result)));
      });
}

kj::Promise<void> node_impl::raft(RaftContext context) {
  service_.HandleRaftMessage(Decode(context.getParams()));
  return kj::READY_NOW;
}

kj::Promise<void> node_impl::manifest(ManifestContext context) {
  const manifest_record record = service_.Manifest();
  Encode(record, context.initResults(SizeHint(record)));
  return kj::READY_NOW;
}

kj::Promise<void> node_impl::status(StatusContext context) {
  const status_report report = service_.Status();
  Encode(report, context.initResults(SizeHint(report)));
  return kj::READY_NOW;
}

kj::Promise<void> node_impl::refresh(RefreshContext) {
  service_.RequestSync();
  return kj::READY_NOW;
}

}  // namespace teaseljunction
