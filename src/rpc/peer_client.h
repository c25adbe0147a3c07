#pragma once

#include <cstdint>
#include <string>

#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "rpc/types.h"

namespace teaseljunction {

/// Port to other daemons. Addresses are "IP:port". Methods return at once; each completion runs
/// exactly once, on an RPC thread, at the latest when the timeout ends. Implementations are
/// thread-safe and keep connections open.
class peer_client {
 public:
  virtual ~peer_client() = default;

  /// Runs a call at the target beside the daemon at `address`. Returns an id for `CancelExecute`.
  /// Errors: kPeerUnreachable when the call was certainly not sent, kPeerLost when the connection
  /// ended after sending, kDeadlineExceeded.
  virtual uint64_t Execute(absl::string_view address, call request, absl::Duration timeout,
                           absl::AnyInvocable<void(execute_result)> completion) = 0;

  /// Cancels a call. Its completion runs with kCancelled unless it has run before.
  virtual void CancelExecute(uint64_t id) = 0;

  /// Errors: kPeerUnreachable, kPeerLost, kDeadlineExceeded.
  virtual void Sync(absl::string_view address, sync_request request, absl::Duration timeout,
                    absl::AnyInvocable<void(outcome<sync_response>)> completion) = 0;

  /// Errors: kPeerUnreachable, kPeerLost, kDeadlineExceeded. After the last two the command may
  /// have been committed.
  virtual void Propose(absl::string_view address, command proposal, absl::Duration timeout,
                       absl::AnyInvocable<void(outcome<propose_response>)> completion) = 0;

  /// Sends a message between control members. Lost messages are not reported.
  virtual void Raft(absl::string_view address, std::string message) = 0;

  /// Asks the daemon at `address` to sync soon. Lost messages are not reported.
  virtual void Refresh(absl::string_view address) = 0;

  virtual void Status(absl::string_view address, absl::Duration timeout,
                      absl::AnyInvocable<void(outcome<status_report>)> completion) = 0;

  virtual void Manifest(absl::string_view address, absl::Duration timeout,
                        absl::AnyInvocable<void(outcome<manifest_record>)> completion) = 0;
};

}  // namespace teaseljunction
