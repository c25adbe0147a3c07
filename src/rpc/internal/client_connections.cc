#include "rpc/internal/client_connections.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "common/sockets.h"
#include "rpc/internal/buffered_stream.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kInitialBackoff = absl::Milliseconds(20);
// Kept short because control members come back together after a fault, and callers wait for them.
constexpr absl::Duration kMaxBackoff = absl::Milliseconds(250);
/// Limit of the bytes queued for one peer. Calls fail without being sent while more is queued.
constexpr size_t kMaxQueuedBytes = size_t{64} << 20;

wire::Node::Client BootstrapNode(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& rpc) {
  capnp::MallocMessageBuilder message(8);
  auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
  server.setSide(capnp::rpc::twoparty::Side::SERVER);
  return rpc.bootstrap(server).castAs<wire::Node>();
}

}  // namespace

peer_connection::peer_connection(kj::Own<kj::AsyncIoStream> connected, capnp::ReaderOptions limits,
                                 message_memory& receiving, kj::Timer& timer, event_loop* loop,
                                 const std::string& address, log_limiter& limiter)
    : stream(kj::heap<buffered_stream>(kj::mv(connected), receiving, timer, loop)),
      messages(*stream, address, limiter),
      network(messages, capnp::rpc::twoparty::Side::CLIENT, limits),
      rpc(capnp::makeRpcClient(network)),
      node(BootstrapNode(rpc)) {}

client_connections::client_connections(kj::AsyncIoContext& io,
                                       const rpc_peer_client_settings& settings,
                                       log_limiter& limiter)
    : io_(io),
      settings_(settings),
      limiter_(limiter),
      receiving_(settings.max_receiving_bytes),
      tasks_(*this) {
  tasks_.add(CloseIdleConnections());
}

void client_connections::taskFailed(kj::Exception&& failure) {
  LogRpcWarning(limiter_, failure.getDescription().cStr());
}

void client_connections::Start(std::unique_ptr<pending_call> call) {
  const absl::Time now = clock_.Now();
  if (stopping_ || now >= call->deadline) {
    call->Fail({error_kind::kPeerUnreachable, "not sent in time"});
    return;
  }
  const std::shared_ptr<peer_state> peer = GetOrCreatePeer(call->address);
  if (peer->state == peer_state::connection_state::kDisconnected) {
    if (now < peer->retry_at) {
      call->Fail({error_kind::kPeerUnreachable, "not connected"});
      return;
    }
    Connect(peer);
  }
  ++peer->running_calls;
  peer->last_used = now;
  call->peer = peer;
  auto entry = std::make_unique<running_call>();
  entry->call = std::move(call);
  running_call& running = *entry;
  calls_[running.call->id] = std::move(entry);
  AwaitCompletion(running, SendWhenReady(running));
}

kj::Promise<void> client_connections::SendWhenReady(running_call& running) {
  pending_call* call = running.call.get();
  auto send = [call]() -> kj::Promise<void> {
    peer_state& peer = *call->peer;
    if (peer.state != peer_state::connection_state::kConnected) {
      return KJ_EXCEPTION(DISCONNECTED, "not connected");
    }
    if (peer.connection->network.getCurrentQueueSize() > kMaxQueuedBytes) {
      return KJ_EXCEPTION(OVERLOADED, "too much data waits to be sent");
    }
    return call->Send(peer.connection->node);
  };
  if (call->peer->state == peer_state::connection_state::kConnected) return kj::evalNow(send);
  return call->peer->connected.addBranch().then(kj::mv(send));
}

void client_connections::AwaitCompletion(running_call& running, kj::Promise<void> sending) {
  const uint64_t id = running.call->id;
  const kj::Duration left = ToKjDuration(running.call->deadline - clock_.Now());
  tasks_.add(running.canceler.wrap(kj::mv(sending))
                 .then(
                     [this, id] {
                       if (const auto done = RemoveCall(id)) done->call->Complete();
                     },
                     [this, id](kj::Exception&& failure) {
                       FailCall(id, failure.getDescription().cStr());
                     })
                 .exclusiveJoin(io_.provider->getTimer().afterDelay(left).then(
                     [this, id] { ExpireCall(id); })));
}

std::unique_ptr<client_connections::running_call> client_connections::RemoveCall(uint64_t id) {
  const auto entry = calls_.find(id);
  if (entry == calls_.end()) return nullptr;
  std::unique_ptr<running_call> removed = std::move(entry->second);
  calls_.erase(entry);
  --removed->call->peer->running_calls;
  removed->call->peer->last_used = clock_.Now();
  return removed;
}

void client_connections::FailCall(uint64_t id, absl::string_view detail) {
  const auto failed = RemoveCall(id);
  if (failed == nullptr) return;
  const error_kind kind = failed->call->sent ? error_kind::kPeerLost : error_kind::kPeerUnreachable;
  failed->call->Fail({kind, std::string(detail.data(), detail.size())});
}

void client_connections::ExpireCall(uint64_t id) {
  const auto expired = RemoveCall(id);
  if (expired == nullptr) return;
  const error_kind kind =
      expired->call->sent ? error_kind::kDeadlineExceeded : error_kind::kPeerUnreachable;
  expired->call->Fail({kind, expired->call->sent ? "" : "not sent in time"});
}

void client_connections::Cancel(uint64_t id) {
  if (const auto cancelled = RemoveCall(id)) cancelled->call->Fail({error_kind::kCancelled, ""});
}

void client_connections::Shutdown() {
  stopping_ = true;
  while (!calls_.empty()) FailCall(calls_.begin()->first, "the daemon is stopping");
}

std::shared_ptr<peer_state> client_connections::GetOrCreatePeer(const std::string& address) {
  std::shared_ptr<peer_state>& entry = peers_[address];
  if (entry == nullptr) {
    entry = std::make_shared<peer_state>();
    entry->address = address;
  }
  return entry;
}

void client_connections::Connect(const std::shared_ptr<peer_state>& connecting) {
  // The raw pointer stays valid: the peer owns the promise and is not removed while connecting.
  peer_state* peer = connecting.get();
  peer->state = peer_state::connection_state::kConnecting;
  kj::Promise<void> connected =
      io_.provider->getTimer()
          .timeoutAfter(ToKjDuration(settings_.connect_timeout),
                        kj::evalLater([this, peer] { return OpenSocket(peer->address); }))
          .then([this, peer](kj::Own<kj::AsyncIoStream>&& stream) {
            OnConnected(*peer, kj::mv(stream));
          })
          .catch_([this, peer](kj::Exception&& failure) {
            OnConnectFailed(*peer);
            kj::throwFatalException(kj::mv(failure));
          });
  peer->connected = connected.fork();
  // Keeps the connection attempt running even when no call waits for it any more.
  tasks_.add(peer->connected.addBranch().catch_([](kj::Exception&&) {}));
}

kj::Promise<kj::Own<kj::AsyncIoStream>> client_connections::OpenSocket(const std::string& address) {
  const auto parsed = Capture<socket_address>([&] { return ParseSocketAddress(address); });
  if (parsed.index() == 1) return KJ_EXCEPTION(FAILED, "invalid address");
  const auto& remote = std::get<0>(parsed);
  const int fd =
      socket(remote.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  if (fd < 0) return KJ_EXCEPTION(FAILED, "no socket");
  SetSocketOptions(fd);
  return io_.lowLevelProvider->wrapConnectingSocketFd(
      fd, remote.get(), remote.length,
      kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
          kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
}

void client_connections::OnConnected(peer_state& peer, kj::Own<kj::AsyncIoStream> stream) {
  peer.connection = kj::heap<peer_connection>(
      kj::mv(stream), MessageLimits(settings_.max_message_bytes), receiving_,
      io_.provider->getTimer(), settings_.loop, peer.address, limiter_);
  peer.state = peer_state::connection_state::kConnected;
  peer.backoff = absl::ZeroDuration();
  const peer_connection* new_connection = peer.connection.get();
  tasks_.add(peer.connection->network.onDisconnect().then(
      [this, owner = peers_[peer.address], new_connection] {
        OnDisconnected(*owner, new_connection);
      }));
}

void client_connections::OnConnectFailed(peer_state& peer) {
  peer.state = peer_state::connection_state::kDisconnected;
  peer.backoff = std::clamp(peer.backoff * 2, kInitialBackoff, kMaxBackoff);
  peer.retry_at = clock_.Now() + peer.backoff;
}

void client_connections::OnDisconnected(peer_state& peer, const peer_connection* lost) {
  if (peer.connection.get() != lost) return;
  peer.state = peer_state::connection_state::kDisconnected;
  DestroyLater(kj::mv(peer.connection));
}

void client_connections::DestroyLater(kj::Own<peer_connection> connection) {
  tasks_.add(kj::evalLater([closed = kj::mv(connection)] {}));
}

kj::Promise<void> client_connections::CloseIdleConnections() {
  return io_.provider->getTimer().afterDelay(ToKjDuration(settings_.idle_timeout / 4)).then([this] {
    const absl::Time limit = clock_.Now() - settings_.idle_timeout;
    std::vector<std::shared_ptr<peer_state>> idle;
    for (const auto& [address, entry] : peers_) {
      const bool connecting = entry->state == peer_state::connection_state::kConnecting;
      if (entry->running_calls == 0 && entry->last_used < limit && !connecting) {
        idle.push_back(entry);
      }
    }
    for (const std::shared_ptr<peer_state>& entry : idle) {
      peers_.erase(entry->address);
      if (entry->state == peer_state::connection_state::kConnected) {
        OnDisconnected(*entry, entry->connection.get());
      }
    }
    return CloseIdleConnections();
  });
}

}  // namespace teaseljunction
