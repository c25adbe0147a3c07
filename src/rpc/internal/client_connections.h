#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "common/log_limiter.h"
#include "rpc/internal/kj_support.h"
#include "rpc/internal/message_memory.h"
#include "rpc/internal/pending_call.h"
#include "rpc/rpc_peer_client.h"

namespace teaseljunction {

/// An open connection to a peer, with its RPC system and bootstrap capability.
struct peer_connection {
  peer_connection(kj::Own<kj::AsyncIoStream> connected, capnp::ReaderOptions limits,
                  message_memory& receiving, kj::Timer& timer, event_loop* loop,
                  const std::string& address, log_limiter& limiter);

  kj::Own<buffered_stream> stream;
  logging_message_stream messages;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  wire::Node::Client node;
};

/// Connection state of one peer address.
struct peer_state {
  enum class connection_state : uint8_t { kDisconnected, kConnecting, kConnected };

  std::string address;
  connection_state state = connection_state::kDisconnected;
  kj::Own<peer_connection> connection;
  /// Resolves when the current connection attempt succeeds and is rejected when it fails.
  kj::ForkedPromise<void> connected = nullptr;
  absl::Duration backoff;
  absl::Time retry_at = absl::InfinitePast();
  absl::Time last_used = absl::InfinitePast();
  unsigned running_calls = 0;
};

/// Connections and running calls of the client on one KJ event loop. Only used on the loop's
/// thread.
class client_connections final : private kj::TaskSet::ErrorHandler {
 public:
  client_connections(kj::AsyncIoContext& io, const rpc_peer_client_settings& settings,
                     log_limiter& limiter);

  /// Sends the call once its peer is connected. Fails it at once when its deadline has passed or
  /// the peer is in its reconnection backoff.
  void Start(std::unique_ptr<pending_call> call);
  /// Fails the call with kCancelled. Ids of calls that have finished are ignored.
  void Cancel(uint64_t id);
  /// Fails all running calls and every call that is started later.
  void Shutdown();

 private:
  /// A call with the canceler of its promise. Destroying it cancels the promise.
  struct running_call {
    std::unique_ptr<pending_call> call;
    kj::Canceler canceler;
  };

  void taskFailed(kj::Exception&& failure) override;  // NOLINT(readability-identifier-naming)
  std::shared_ptr<peer_state> GetOrCreatePeer(const std::string& address);
  void Connect(const std::shared_ptr<peer_state>& connecting);
  kj::Promise<kj::Own<kj::AsyncIoStream>> OpenSocket(const std::string& address);
  void OnConnected(peer_state& peer, kj::Own<kj::AsyncIoStream> stream);
  void OnConnectFailed(peer_state& peer);
  /// Drops the connection of `peer` unless `lost` has already been replaced by a newer one.
  void OnDisconnected(peer_state& peer, const peer_connection* lost);
  /// Destroys a connection in a separate event, because it must not be destroyed from within its
  /// own callbacks.
  void DestroyLater(kj::Own<peer_connection> connection);
  kj::Promise<void> SendWhenReady(running_call& running);
  void AwaitCompletion(running_call& running, kj::Promise<void> sending);
  std::unique_ptr<running_call> RemoveCall(uint64_t id);
  void FailCall(uint64_t id, absl::string_view detail);
  void ExpireCall(uint64_t id);
  kj::Promise<void> CloseIdleConnections();

  kj::AsyncIoContext& io_;
  const rpc_peer_client_settings& settings_;
  log_limiter& limiter_;
  message_memory receiving_;
  const system_clock_source clock_;
  bool stopping_ = false;
  absl::flat_hash_map<std::string, std::shared_ptr<peer_state>> peers_;
  absl::flat_hash_map<uint64_t, std::unique_ptr<running_call>> calls_;
  kj::TaskSet tasks_;
};

}  // namespace teaseljunction
