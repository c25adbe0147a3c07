#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstddef>

#include "absl/container/flat_hash_set.h"
#include "common/log_limiter.h"
#include "rpc/internal/message_memory.h"
#include "rpc/internal/node_impl.h"
#include "rpc/rpc_server.h"

namespace teaseljunction {

/// Listening socket and connections of the server on one KJ event loop. Only used on the loop's
/// thread.
class server_connections final : public kj::TaskSet::ErrorHandler {
 public:
  /// Starts to accept connections. Takes ownership of `listen_fd`; the other arguments must outlive
  /// the object.
  server_connections(kj::AsyncIoContext& io, const rpc_server_settings& settings,
                     node_service& service, int listen_fd, incoming_calls& calls,
                     log_limiter& limiter);

  /// Closes the listening socket; open connections are kept.
  void StopAccepting();

  /// Returns the size of the messages that wait to be sent or are being sent, in bytes.
  size_t QueuedBytes() const;

  /// Closes all connections. The RPC system cancels their calls in separate events of the loop.
  void CloseAll();

  void taskFailed(kj::Exception&& failure) override;  // NOLINT(readability-identifier-naming)

 private:
  struct server_connection;

  kj::Promise<void> Accept();
  void AddConnection(kj::Own<kj::AsyncIoStream> stream);

  kj::AsyncIoContext& io_;
  const rpc_server_settings& settings_;
  log_limiter& limiter_;
  message_memory receiving_;
  wire::Node::Client node_;
  kj::Own<kj::ConnectionReceiver> listener_;
  absl::flat_hash_set<server_connection*> open_connections_;
  kj::Own<kj::TaskSet> connections_;
  kj::Promise<void> accepting_ = nullptr;
};

}  // namespace teaseljunction
