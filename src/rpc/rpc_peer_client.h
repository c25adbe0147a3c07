#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "rpc/peer_client.h"

namespace teaseljunction {

class event_loop;

/// Settings of an `rpc_peer_client`.
struct rpc_peer_client_settings {
  /// Number of client threads, at least one. Ignored when `loop` is set.
  unsigned threads = 2;
  /// When set, calls are sent on this loop instead of threads of the client.
  event_loop* loop = nullptr;
  /// Time after which a connection attempt fails.
  absl::Duration connect_timeout = absl::Milliseconds(500);
  /// Connections that have had no call for this long are closed.
  absl::Duration idle_timeout = absl::Minutes(1);
  /// Maximum size of a received message. A larger one closes its connection.
  size_t max_message_bytes = size_t{16} << 20;
  /// Limit of the memory for all large messages that one thread, or the loop, is receiving. A
  /// message beyond it closes its connection.
  size_t max_receiving_bytes = size_t{64} << 20;
};

class client_worker;

/// Cap'n Proto RPC client for calls to other daemons. Each thread runs one KJ event loop. Every
/// address is assigned to one thread, or to the given loop, which keeps a single connection to it,
/// so that messages to a peer stay in order.
class rpc_peer_client : public peer_client {
 public:
  /// Fails running calls with kPeerLost, or with kPeerUnreachable when they have not been sent.
  ~rpc_peer_client() override;

  uint64_t Execute(absl::string_view address, call request, absl::Duration timeout,
                   absl::AnyInvocable<void(execute_result)> completion) override;
  void CancelExecute(uint64_t id) override;
  void Sync(absl::string_view address, sync_request request, absl::Duration timeout,
            absl::AnyInvocable<void(outcome<sync_response>)> completion) override;
  void Propose(absl::string_view address, command proposal, absl::Duration timeout,
               absl::AnyInvocable<void(outcome<propose_response>)> completion) override;
  void SendRaftMessage(absl::string_view address, std::string message) override;
  void RequestSync(absl::string_view address) override;
  void Status(absl::string_view address, absl::Duration timeout,
              absl::AnyInvocable<void(outcome<status_report>)> completion) override;
  void Manifest(absl::string_view address, absl::Duration timeout,
                absl::AnyInvocable<void(outcome<manifest_record>)> completion) override;

 private:
  friend class rpc_peer_client_builder;
  explicit rpc_peer_client(const rpc_peer_client_settings& settings);

  template <class Method>
  uint64_t StartCall(absl::string_view address, absl::Duration timeout,
                     typename Method::params request,
                     absl::AnyInvocable<void(outcome<typename Method::results>)> completion);

  std::vector<std::unique_ptr<client_worker>> workers_;
  std::atomic<uint64_t> next_id_ = 0;
};

/// Builds an `rpc_peer_client`.
class rpc_peer_client_builder {
 public:
  rpc_peer_client_builder& Threads(unsigned threads);
  /// Sends calls on the thread of `loop`, which must outlive the client, instead of threads of the
  /// client.
  rpc_peer_client_builder& Loop(event_loop* loop);
  rpc_peer_client_builder& ConnectTimeout(absl::Duration timeout);
  rpc_peer_client_builder& IdleTimeout(absl::Duration timeout);
  rpc_peer_client_builder& MaxMessageBytes(size_t bytes);
  rpc_peer_client_builder& MaxReceivingBytes(size_t bytes);

  std::unique_ptr<rpc_peer_client> Build() const;

 private:
  rpc_peer_client_settings settings_;
};

}  // namespace teaseljunction
