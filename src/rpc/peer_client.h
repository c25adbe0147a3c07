#pragma once

#include <cstdint>
#include <string>

#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "rpc/types.h"

namespace teaseljunction {

/// Client interface for calls to other daemons. Addresses are "IP:port". Methods return at once;
/// each completion runs exactly once, on an RPC thread, at the latest when the timeout expires.
/// Implementations are thread-safe and keep connections open.
class peer_client {
 public:
  virtual ~peer_client() = default;

  /// Runs a call at the local target of the daemon at `address`. Returns an id for `CancelExecute`.
  /// Errors: kPeerUnreachable when the call was definitely not sent, kPeerLost when the connection
  /// was lost after sending, kDeadlineExceeded when the timeout expired after sending. With
  /// kPeerUnreachable the whole attempt budget is reported as unused.
  virtual uint64_t Execute(absl::string_view address, call request, absl::Duration timeout,
                           absl::AnyInvocable<void(execute_result)> completion) = 0;

  /// Cancels a call. Its completion runs with kCancelled unless it has already run.
  virtual void CancelExecute(uint64_t id) = 0;

  /// Synchronises this daemon with the leader at `address`.
  /// Errors: kPeerUnreachable, kPeerLost, kDeadlineExceeded.
  virtual void Sync(absl::string_view address, sync_request request, absl::Duration timeout,
                    absl::AnyInvocable<void(outcome<sync_response>)> completion) = 0;

  /// Proposes a command to the leader at `address`.
  /// Errors: kPeerUnreachable, kPeerLost, kDeadlineExceeded. After the last two the command may
  /// have been committed.
  virtual void Propose(absl::string_view address, command proposal, absl::Duration timeout,
                       absl::AnyInvocable<void(outcome<propose_response>)> completion) = 0;

  /// Sends an encoded Raft message to another control member. Lost messages are not reported.
  virtual void SendRaftMessage(absl::string_view address, std::string message) = 0;

  /// Asks the daemon at `address` to synchronise with the leader before its next regular
  /// synchronisation. Lost messages are not reported.
  virtual void RequestSync(absl::string_view address) = 0;

  /// Reads the status of the daemon at `address`.
  /// Errors: kPeerUnreachable, kPeerLost, kDeadlineExceeded.
  virtual void Status(absl::string_view address, absl::Duration timeout,
                      absl::AnyInvocable<void(outcome<status_report>)> completion) = 0;

  /// Reads the manifest that is active on the daemon at `address`.
  /// Errors: kPeerUnreachable, kPeerLost, kDeadlineExceeded.
  virtual void Manifest(absl::string_view address, absl::Duration timeout,
                        absl::AnyInvocable<void(outcome<manifest_record>)> completion) = 0;
};

}  // namespace teaseljunction
