#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "common/log_limiter.h"
#include "rpc/internal/node_impl.h"
#include "rpc/rpc_server.h"

namespace teaseljunction {

/// Listening socket and connections of the server on one KJ event loop. Used on the loop's thread
/// only.
class server_connections final : public kj::TaskSet::ErrorHandler {
 public:
  /// Takes over `listen_fd`. The other arguments must outlive the connections.
  server_connections(kj::AsyncIoContext& io, const rpc_server_settings& settings,
                     node_service& service, int listen_fd, waiting_calls& waiting,
                     log_limiter& limiter);

  /// Closes the listening socket; connections stay open.
  void StopAccepting();

  /// Closes all connections. The RPC system drops their calls in events of their own.
  void CloseAll();

  void taskFailed(kj::Exception&& failure) override;  // NOLINT(readability-identifier-naming)

 private:
  kj::Promise<void> Accept();
  void Serve(kj::Own<kj::AsyncIoStream> stream);

  kj::AsyncIoContext& io_;
  const rpc_server_settings& settings_;
  log_limiter& limiter_;
  wire::Node::Client node_;
  kj::Own<kj::ConnectionReceiver> listener_;
  unsigned open_ = 0;
  kj::Own<kj::TaskSet> connections_;
  kj::Promise<void> accepting_ = nullptr;
};

}  // namespace teaseljunction
