#include "rpc/internal/server_connections.h"

#include <utility>

#include "rpc/internal/buffered_stream.h"
#include "rpc/internal/kj_support.h"

namespace teaseljunction {
namespace {

constexpr kj::Duration kAcceptRetryDelay = 20 * kj::MILLISECONDS;

}  // namespace

/// An accepted connection with its RPC system.
struct server_connections::server_connection {
  server_connection(kj::Own<kj::AsyncIoStream> accepted, capnp::Capability::Client node,
                    capnp::ReaderOptions limits, message_memory& receiving, kj::Timer& timer,
                    event_loop* loop, log_limiter& limiter)
      : stream(kj::heap<buffered_stream>(kj::mv(accepted), receiving, timer, loop)),
        messages(*stream, PeerAddress(*stream), limiter),
        network(messages, capnp::rpc::twoparty::Side::SERVER, limits),
        rpc(capnp::makeRpcServer(network, kj::mv(node))) {}

  /// Returns the size of the messages that have not been sent, in bytes.
  size_t QueuedBytes() { return network.getCurrentQueueSize() + stream->UnsentBytes(); }

  kj::Own<buffered_stream> stream;
  logging_message_stream messages;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

server_connections::server_connections(kj::AsyncIoContext& io, const rpc_server_settings& settings,
                                       node_service& service, int listen_fd, incoming_calls& calls,
                                       log_limiter& limiter)
    : io_(io),
      settings_(settings),
      limiter_(limiter),
      receiving_(settings.max_receiving_bytes),
      node_(kj::heap<node_impl>(service, calls)),
      listener_(io.lowLevelProvider->wrapListenSocketFd(
          listen_fd, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
                         kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                         kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK)),
      connections_(kj::heap<kj::TaskSet>(*this)) {
  accepting_ =
      Accept().eagerlyEvaluate([this](kj::Exception&& failure) { taskFailed(kj::mv(failure)); });
}

void server_connections::taskFailed(kj::Exception&& failure) {
  LogRpcWarning(limiter_, failure.getDescription().cStr());
}

kj::Promise<void> server_connections::Accept() {
  return listener_->accept()
      .then([this](kj::Own<kj::AsyncIoStream>&& stream) { AddConnection(kj::mv(stream)); })
      .then([this] { return Accept(); },
            [this](kj::Exception&& failure) {
              // For example when the process is out of file descriptors.
              taskFailed(kj::mv(failure));
              return io_.provider->getTimer().afterDelay(kAcceptRetryDelay).then([this] {
                return Accept();
              });
            });
}

void server_connections::AddConnection(kj::Own<kj::AsyncIoStream> stream) {
  if (open_connections_.size() >= settings_.max_connections) {
    LogRpcWarning(limiter_, "connection refused: the limit of open connections is reached");
    return;
  }
  KJ_IF_MAYBE (fd, stream->getFd()) {
    SetSocketOptions(*fd);
  }
  auto connection =
      kj::heap<server_connection>(kj::mv(stream), node_, MessageLimits(settings_.max_message_bytes),
                                  receiving_, io_.provider->getTimer(), settings_.loop, limiter_);
  server_connection* open = connection.get();
  open_connections_.insert(open);
  kj::Promise<void> closed = open->network.onDisconnect();
  connections_->add(closed.attach(kj::mv(connection),
                                  kj::defer([this, open] { open_connections_.erase(open); })));
}

void server_connections::StopAccepting() {
  accepting_ = nullptr;
  listener_ = nullptr;
}

size_t server_connections::QueuedBytes() const {
  size_t bytes = 0;
  for (server_connection* open : open_connections_) bytes += open->QueuedBytes();
  return bytes;
}

void server_connections::CloseAll() { connections_ = nullptr; }

}  // namespace teaseljunction
