#include "rpc/internal/client_loop.h"

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

constexpr absl::Duration kFirstBackoff = absl::Milliseconds(20);
// Control members come back together after a fault, and callers wait for them.
constexpr absl::Duration kMaxBackoff = absl::Milliseconds(250);
/// Bound of the bytes that wait to be sent to one peer. Calls beyond it are not sent.
constexpr size_t kMaxQueuedBytes = size_t{64} << 20;

wire::Node::Client BootstrapNode(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& rpc) {
  capnp::MallocMessageBuilder message(8);
  auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
  server.setSide(capnp::rpc::twoparty::Side::SERVER);
  return rpc.bootstrap(server).castAs<wire::Node>();
}

}  // namespace

peer_connection::peer_connection(kj::Own<kj::AsyncIoStream> connected, capnp::ReaderOptions limits,
                                 const std::string& address, log_limiter& limiter)
    : stream(kj::heap<buffered_stream>(kj::mv(connected))),
      messages(*stream, address, limiter),
      network(messages, capnp::rpc::twoparty::Side::CLIENT, limits),
      rpc(capnp::makeRpcClient(network)),
      node(BootstrapNode(rpc)) {}

client_loop::client_loop(kj::AsyncIoContext& io, const rpc_peer_client_settings& settings,
                         log_limiter& limiter)
    : io_(io), settings_(settings), limiter_(limiter), tasks_(*this) {
  tasks_.add(CloseIdle());
}

void client_loop::taskFailed(kj::Exception&& failure) {
  LogRpcLimited(limiter_, failure.getDescription().cStr());
}

void client_loop::Start(std::unique_ptr<pending_call> call) {
  const absl::Time now = clock_.Now();
  if (stopping_ || now >= call->deadline) {
    call->Fail({error_kind::kPeerUnreachable, "not sent in time"});
    return;
  }
  const std::shared_ptr<peer> target = PeerOf(call->address);
  if (target->state == peer::phase::kDown) {
    if (now < target->retry_at) {
      call->Fail({error_kind::kPeerUnreachable, "not connected"});
      return;
    }
    Connect(target);
  }
  ++target->calls;
  target->last_used = now;
  call->connection = target;
  auto entry = std::make_unique<running_call>();
  entry->call = std::move(call);
  running_call& running = *entry;
  calls_[running.call->id] = std::move(entry);
  Track(running, SendWhenReady(running));
}

kj::Promise<void> client_loop::SendWhenReady(running_call& running) {
  pending_call* call = running.call.get();
  auto send = [call]() -> kj::Promise<void> {
    peer& target = *call->connection;
    if (target.state != peer::phase::kUp) return KJ_EXCEPTION(DISCONNECTED, "not connected");
    if (target.connection->network.getCurrentQueueSize() > kMaxQueuedBytes) {
      return KJ_EXCEPTION(OVERLOADED, "too much data waits to be sent");
    }
    return call->Send(target.connection->node);
  };
  if (call->connection->state == peer::phase::kUp) return kj::evalNow(send);
  return call->connection->ready.addBranch().then(kj::mv(send));
}

void client_loop::Track(running_call& running, kj::Promise<void> sending) {
  const uint64_t id = running.call->id;
  const kj::Duration left = ToKj(running.call->deadline - clock_.Now());
  tasks_.add(running.canceler.wrap(kj::mv(sending))
                 .then(
                     [this, id] {
                       if (const auto done = Take(id)) done->call->Complete();
                     },
                     [this, id](kj::Exception&& failure) {
                       FailCall(id, failure.getDescription().cStr());
                     })
                 .exclusiveJoin(
                     io_.provider->getTimer().afterDelay(left).then([this, id] { Expire(id); })));
}

std::unique_ptr<client_loop::running_call> client_loop::Take(uint64_t id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return nullptr;
  std::unique_ptr<running_call> taken = std::move(found->second);
  calls_.erase(found);
  --taken->call->connection->calls;
  taken->call->connection->last_used = clock_.Now();
  return taken;
}

void client_loop::FailCall(uint64_t id, absl::string_view detail) {
  const auto failed = Take(id);
  if (failed == nullptr) return;
  const error_kind kind = failed->call->sent ? error_kind::kPeerLost : error_kind::kPeerUnreachable;
  failed->call->Fail({kind, std::string(detail.data(), detail.size())});
}

void client_loop::Expire(uint64_t id) {
  const auto expired = Take(id);
  if (expired == nullptr) return;
  const error_kind kind =
      expired->call->sent ? error_kind::kDeadlineExceeded : error_kind::kPeerUnreachable;
  expired->call->Fail({kind, expired->call->sent ? "" : "not sent in time"});
}

void client_loop::Cancel(uint64_t id) {
  if (const auto cancelled = Take(id)) cancelled->call->Fail({error_kind::kCancelled, ""});
}

void client_loop::Shutdown() {
  stopping_ = true;
  while (!calls_.empty()) FailCall(calls_.begin()->first, "the daemon is stopping");
}

std::shared_ptr<peer> client_loop::PeerOf(const std::string& address) {
  std::shared_ptr<peer>& found = peers_[address];
  if (found == nullptr) {
    found = std::make_shared<peer>();
    found->address = address;
  }
  return found;
}

void client_loop::Connect(const std::shared_ptr<peer>& connecting) {
  // A peer is not removed while it connects, and it owns the promise.
  peer* target = connecting.get();
  target->state = peer::phase::kConnecting;
  kj::Promise<void> connected =
      io_.provider->getTimer()
          .timeoutAfter(ToKj(settings_.connect_timeout),
                        kj::evalLater([this, target] { return OpenSocket(target->address); }))
          .then([this, target](kj::Own<kj::AsyncIoStream>&& stream) {
            Connected(*target, kj::mv(stream));
          })
          .catch_([this, target](kj::Exception&& failure) {
            ConnectFailed(*target);
            kj::throwFatalException(kj::mv(failure));
          });
  target->ready = connected.fork();
  // Keeps the attempt running when no call waits for it any more.
  tasks_.add(target->ready.addBranch().catch_([](kj::Exception&&) {}));
}

kj::Promise<kj::Own<kj::AsyncIoStream>> client_loop::OpenSocket(const std::string& address) {
  const auto parsed = Capture<socket_address>([&] { return ParseSocketAddress(address); });
  if (parsed.index() == 1) return KJ_EXCEPTION(FAILED, "invalid address");
  const auto& target = std::get<0>(parsed);
  const int fd =
      socket(target.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  if (fd < 0) return KJ_EXCEPTION(FAILED, "no socket");
  SetSocketOptions(fd);
  return io_.lowLevelProvider->wrapConnectingSocketFd(
      fd, target.get(), target.length,
      kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
          kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
}

void client_loop::Connected(peer& target, kj::Own<kj::AsyncIoStream> stream) {
  target.connection = kj::heap<peer_connection>(
      kj::mv(stream), MessageLimits(settings_.max_message_bytes), target.address, limiter_);
  target.state = peer::phase::kUp;
  target.backoff = absl::ZeroDuration();
  const peer_connection* opened = target.connection.get();
  tasks_.add(target.connection->network.onDisconnect().then(
      [this, owner = peers_[target.address], opened] { Lost(*owner, opened); }));
}

void client_loop::ConnectFailed(peer& target) {
  target.state = peer::phase::kDown;
  target.backoff = std::clamp(target.backoff * 2, kFirstBackoff, kMaxBackoff);
  target.retry_at = clock_.Now() + target.backoff;
}

void client_loop::Lost(peer& target, const peer_connection* lost) {
  if (target.connection.get() != lost) return;
  target.state = peer::phase::kDown;
  Release(kj::mv(target.connection));
}

void client_loop::Release(kj::Own<peer_connection> connection) {
  tasks_.add(kj::evalLater([closed = kj::mv(connection)] {}));
}

kj::Promise<void> client_loop::CloseIdle() {
  return io_.provider->getTimer().afterDelay(ToKj(settings_.idle_timeout / 4)).then([this] {
    const absl::Time limit = clock_.Now() - settings_.idle_timeout;
    std::vector<std::shared_ptr<peer>> idle;
    for (const auto& [address, entry] : peers_) {
      const bool connecting = entry->state == peer::phase::kConnecting;
      if (entry->calls == 0 && entry->last_used < limit && !connecting) idle.push_back(entry);
    }
    for (const std::shared_ptr<peer>& entry : idle) {
      peers_.erase(entry->address);
      if (entry->state == peer::phase::kUp) Lost(*entry, entry->connection.get());
    }
    return CloseIdle();
  });
}

}  // namespace teaseljunction
