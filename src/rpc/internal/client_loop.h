#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "common/log_limiter.h"
#include "rpc/internal/kj_support.h"
#include "rpc/internal/pending_call.h"
#include "rpc/rpc_peer_client.h"

namespace teaseljunction {

/// An open connection to a peer.
struct peer_connection {
  peer_connection(kj::Own<kj::AsyncIoStream> connected, capnp::ReaderOptions limits,
                  const std::string& address, log_limiter& limiter);

  kj::Own<kj::AsyncIoStream> stream;
  logged_message_stream messages;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  wire::Node::Client node;
};

/// What a loop knows of one address.
struct peer {
  enum class phase : uint8_t { kDown, kConnecting, kUp };

  std::string address;
  phase state = phase::kDown;
  kj::Own<peer_connection> connection;
  /// Ends when the attempt to connect has ended, with an exception when it failed.
  kj::ForkedPromise<void> ready = nullptr;
  absl::Duration backoff;
  absl::Time retry_at = absl::InfinitePast();
  absl::Time last_used = absl::InfinitePast();
  unsigned calls = 0;
};

/// The state of one client thread: connections and calls. Not thread-safe.
class client_loop final : private kj::TaskSet::ErrorHandler {
 public:
  client_loop(kj::AsyncIoContext& io, const rpc_peer_client_settings& settings,
              log_limiter& limiter);

  void Start(std::unique_ptr<pending_call> call);
  void Cancel(uint64_t id);
  /// Fails all calls, and every later one.
  void Shutdown();

 private:
  /// A call with what ends it early. Dropping it drops the promise of the call.
  struct running_call {
    std::unique_ptr<pending_call> call;
    kj::Canceler canceler;
  };

  void taskFailed(kj::Exception&& failure) override;  // NOLINT(readability-identifier-naming)
  std::shared_ptr<peer> PeerOf(const std::string& address);
  void Connect(const std::shared_ptr<peer>& connecting);
  kj::Promise<kj::Own<kj::AsyncIoStream>> OpenSocket(const std::string& address);
  void Connected(peer& target, kj::Own<kj::AsyncIoStream> stream);
  void ConnectFailed(peer& target);
  /// Forgets the connection of a peer that was `lost`.
  void Lost(peer& target, const peer_connection* lost);
  /// Destroys a connection outside of its own callbacks.
  void Release(kj::Own<peer_connection> connection);
  kj::Promise<void> SendWhenReady(running_call& running);
  void Track(running_call& running, kj::Promise<void> sending);
  std::unique_ptr<running_call> Take(uint64_t id);
  void FailCall(uint64_t id, absl::string_view detail);
  void Expire(uint64_t id);
  kj::Promise<void> CloseIdle();

  kj::AsyncIoContext& io_;
  const rpc_peer_client_settings& settings_;
  log_limiter& limiter_;
  const system_clock_source clock_;
  bool stopping_ = false;
  absl::flat_hash_map<std::string, std::shared_ptr<peer>> peers_;
  absl::flat_hash_map<uint64_t, std::unique_ptr<running_call>> calls_;
  kj::TaskSet tasks_;
};

}  // namespace teaseljunction
