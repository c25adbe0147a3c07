#include "rpc/internal/server_loop.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "rpc/internal/kj_support.h"

namespace teaseljunction {
namespace {

constexpr kj::Duration kAcceptRetryDelay = 20 * kj::MILLISECONDS;

/// One connection of the server.
struct server_connection {
  server_connection(kj::Own<kj::AsyncIoStream> accepted, capnp::Capability::Client node,
                    capnp::ReaderOptions limits, log_limiter& limiter)
      : stream(kj::mv(accepted)),
        messages(*stream, PeerName(*stream), limiter),
        network(messages, capnp::rpc::twoparty::Side::SERVER, limits),
        rpc(capnp::makeRpcServer(network, kj::mv(node))) {}

  kj::Own<kj::AsyncIoStream> stream;
  logged_message_stream messages;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

}  // namespace

/// Everything that belongs to the loop's thread, in the order of construction.
struct server_loop::state : kj::TaskSet::ErrorHandler {
  state(server_loop& owner, kj::AsyncIoContext& context, waiting_calls& waiting)
      : loop(owner),
        io(context),
        node(kj::heap<node_impl>(owner.service_, waiting)),
        listener(context.lowLevelProvider->wrapListenSocketFd(
            owner.listen_fd_, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
                                  kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                                  kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK)),
        stop(kj::newPromiseAndFulfiller<void>()),
        connections(kj::heap<kj::TaskSet>(*this)) {}

  void taskFailed(kj::Exception&& failure) override {  // NOLINT(readability-identifier-naming)
    LogRpcLimited(loop.limiter_, failure.getDescription().cStr());
  }

  server_loop& loop;
  kj::AsyncIoContext& io;
  wire::Node::Client node;
  kj::Own<kj::ConnectionReceiver> listener;
  kj::PromiseFulfillerPair<void> stop;
  unsigned open = 0;
  kj::Own<kj::TaskSet> connections;
  kj::Promise<void> accepting = nullptr;
};

server_loop::server_loop(const rpc_server_settings& settings, node_service& service, int listen_fd,
                         server_activity& activity, log_limiter& limiter)
    : settings_(settings),
      service_(service),
      listen_fd_(listen_fd),
      activity_(activity),
      limiter_(limiter) {
  thread_ = std::thread(&server_loop::Run, this);
}

server_loop::~server_loop() { Stop(); }

void server_loop::Run() {
  kj_log log(limiter_);
  // Outlives the event loop, which may hold promises of calls until its end.
  waiting_calls waiting(queue_, activity_);
  kj::AsyncIoContext io = kj::setupAsyncIo();
  state loop(*this, io, waiting);
  state_ = &loop;
  loop.accepting = Accept(loop).eagerlyEvaluate(
      [&loop](kj::Exception&& failure) { loop.taskFailed(kj::mv(failure)); });
  kj::Promise<void> tasks =
      queue_->Run(io.unixEventPort, [](absl::AnyInvocable<void()> task) { task(); })
          .eagerlyEvaluate(nullptr);
  loop.stop.promise.wait(io.waitScope);
  loop.connections = nullptr;
  // The RPC system drops the calls of a closed connection in events of their own.
  io.waitScope.poll();
  queue_->Close();
}

kj::Promise<void> server_loop::Accept(state& loop) {
  return loop.listener->accept()
      .then([&loop](kj::Own<kj::AsyncIoStream>&& stream) { Serve(loop, kj::mv(stream)); })
      .then([&loop] { return Accept(loop); },
            [&loop](kj::Exception&& failure) {
              // For example when no descriptor is left, or the client has gone again.
              loop.taskFailed(kj::mv(failure));
              return loop.io.provider->getTimer().afterDelay(kAcceptRetryDelay).then([&loop] {
                return Accept(loop);
              });
            });
}

void server_loop::Serve(state& loop, kj::Own<kj::AsyncIoStream> stream) {
  const rpc_server_settings& settings = loop.loop.settings_;
  if (loop.open >= settings.max_connections) {
    LogRpcLimited(loop.loop.limiter_, "connection refused, too many are open");
    return;
  }
  KJ_IF_MAYBE (fd, stream->getFd()) {
    SetSocketOptions(*fd);
  }
  auto connection = kj::heap<server_connection>(
      kj::mv(stream), loop.node, MessageLimits(settings.max_message_bytes), loop.loop.limiter_);
  ++loop.open;
  kj::Promise<void> closed = connection->network.onDisconnect();
  loop.connections->add(closed.attach(kj::mv(connection), kj::defer([&loop] { --loop.open; })));
}

void server_loop::Post(void (*task)(state&)) {
  absl::AnyInvocable<void()> posted = [this, task] { task(*state_); };
  queue_->Post(posted);
}

void server_loop::StopAccepting() {
  Post([](state& loop) {
    loop.accepting = nullptr;
    loop.listener = nullptr;
  });
}

void server_loop::Stop() {
  if (!thread_.joinable()) return;
  Post([](state& loop) { loop.stop.fulfiller->fulfill(); });
  thread_.join();
}

}  // namespace teaseljunction
