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
  unsigned threads = 2;
  /// Sends on this loop instead of own threads, when set.
  event_loop* loop = nullptr;
  absl::Duration connect_timeout = absl::Milliseconds(500);
  /// Connections without calls for this long are closed.
  absl::Duration idle_timeout = absl::Minutes(1);
  /// Bound of one message. A larger one ends its connection.
  size_t max_message_bytes = size_t{16} << 20;
};

class rpc_worker;

/// Cap'n Proto RPC client to other daemons. Each thread runs one KJ event loop. Every address
/// belongs to one thread or to the loop, which keeps one connection to it; so messages to a peer
/// stay in order.
class rpc_peer_client : public peer_client {
 public:
  /// Ends running calls with kPeerLost, or kPeerUnreachable when they were not sent.
  ~rpc_peer_client() override;

  uint64_t Execute(absl::string_view address, call request, absl::Duration timeout,
                   absl::AnyInvocable<void(execute_result)> completion) override;
  void CancelExecute(uint64_t id) override;
  void Sync(absl::string_view address, sync_request request, absl::Duration timeout,
            absl::AnyInvocable<void(outcome<sync_response>)> completion) override;
  void Propose(absl::string_view address, command proposal, absl::Duration timeout,
               absl::AnyInvocable<void(outcome<propose_response>)> completion) override;
  void Raft(absl::string_view address, std::string message) override;
  void Refresh(absl::string_view address) override;
  void Status(absl::string_view address, absl::Duration timeout,
              absl::AnyInvocable<void(outcome<status_report>)> completion) override;
  void Manifest(absl::string_view address, absl::Duration timeout,
                absl::AnyInvocable<void(outcome<manifest_record>)> completion) override;

 private:
  friend class rpc_peer_client_builder;
  explicit rpc_peer_client(const rpc_peer_client_settings& settings);

  template <class Method>
  uint64_t Start(absl::string_view address, absl::Duration timeout, typename Method::params request,
                 absl::AnyInvocable<void(outcome<typename Method::results>)> done);

  std::vector<std::unique_ptr<rpc_worker>> workers_;
  std::atomic<uint64_t> next_id_ = 0;
};

/// Builds an `rpc_peer_client`.
class rpc_peer_client_builder {
 public:
  rpc_peer_client_builder& Threads(unsigned threads);
  /// Sends on the thread of `loop`, which must outlive the client, instead of own threads.
  rpc_peer_client_builder& Loop(event_loop* loop);
  rpc_peer_client_builder& ConnectTimeout(absl::Duration timeout);
  rpc_peer_client_builder& IdleTimeout(absl::Duration timeout);
  rpc_peer_client_builder& MaxMessageBytes(size_t bytes);

  std::unique_ptr<rpc_peer_client> Build() const;

 private:
  rpc_peer_client_settings settings_;
};

}  // namespace teaseljunction
