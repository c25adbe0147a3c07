#include "rpc/rpc_server.h"

#include <unistd.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "common/clock_source.h"
#include "common/log.h"
#include "common/sockets.h"
#include "rpc/internal/server_on_loop.h"
#include "rpc/internal/server_thread.h"

namespace teaseljunction {
namespace {

/// Time for connections that were being set up when a planned stop began.
constexpr absl::Duration kAcceptGrace = absl::Milliseconds(100);
/// A planned stop ends when no call has run or started for this long.
constexpr absl::Duration kQuietTime = absl::Milliseconds(200);
constexpr absl::Duration kPollInterval = absl::Milliseconds(5);

/// Opens one listening socket per thread on the same port.
result<std::vector<int>> OpenSockets(const std::string& text, unsigned count) {
  BOOST_LEAF_AUTO(address, ParseSocketAddress(text));
  // Without SO_REUSEPORT this fails when another process has the port, which would otherwise share
  // its connections with this one.
  BOOST_LEAF_AUTO(probe, OpenListenSocket(address, false));
  const std::string bound = absl::StrCat(IpOf(text), ":", BoundPort(probe));
  close(probe);
  BOOST_LEAF_AUTO(shared, ParseSocketAddress(bound));
  std::vector<int> sockets;
  for (unsigned i = 0; i < count; ++i) {
    result<int> fd = OpenListenSocket(shared, true);
    if (!fd) {
      for (const int opened : sockets) close(opened);
      return fd.error();
    }
    sockets.push_back(*fd);
  }
  return sockets;
}

}  // namespace

class rpc_server::impl {
 public:
  impl(rpc_server_settings settings, node_service* service)
      : settings_(std::move(settings)), service_(service) {}

  result<uint16_t> Start() {
    if (service_ == nullptr) return Fail(error_kind::kSettingInvalid, "the server has no service");
    const unsigned count = settings_.loop != nullptr ? 1U : std::max(settings_.threads, 1U);
    BOOST_LEAF_AUTO(sockets, OpenSockets(settings_.address, count));
    const uint16_t port = BoundPort(sockets.front());
    for (const int fd : sockets) loops_.push_back(MakeLoop(fd));
    LOG(INFO) << "rpc: listening on port " << port;
    return port;
  }

  bool Drain(absl::Duration timeout) {
    const system_clock_source clock;
    const absl::Time deadline = clock.Now() + timeout;
    for (const auto& loop : loops_) IgnoreNewConnections(loop->listen_fd());
    absl::SleepFor(std::min(kAcceptGrace, timeout));
    for (const auto& loop : loops_) loop->StopAccepting();
    uint64_t started = activity_.started;
    absl::Time quiet_since = clock.Now();
    while (clock.Now() < deadline && clock.Now() - quiet_since < kQuietTime) {
      absl::SleepFor(kPollInterval);
      const uint64_t seen = std::exchange(started, activity_.started);
      if (activity_.running > 0 || seen != started) quiet_since = clock.Now();
    }
    const bool drained = activity_.running == 0;
    Stop();
    return drained;
  }

  void Stop() {
    if (loops_.empty()) return;
    loops_.clear();
    LOG(INFO) << "rpc: stopped";
  }

 private:
  std::unique_ptr<server_loop> MakeLoop(int fd) {
    if (settings_.loop == nullptr) {
      return std::make_unique<server_thread>(settings_, *service_, fd, activity_, limiter_);
    }
    return std::make_unique<server_on_loop>(*settings_.loop, settings_, *service_, fd, activity_,
                                            limiter_);
  }

  const rpc_server_settings settings_;
  node_service* const service_;
  server_activity activity_;
  log_limiter limiter_;
  std::vector<std::unique_ptr<server_loop>> loops_;
};

rpc_server::rpc_server(std::unique_ptr<impl> state) : impl_(std::move(state)) {}
rpc_server::~rpc_server() { impl_->Stop(); }
result<uint16_t> rpc_server::Start() { return impl_->Start(); }
bool rpc_server::Drain(absl::Duration timeout) { return impl_->Drain(timeout); }
void rpc_server::Stop() { impl_->Stop(); }

rpc_server_builder& rpc_server_builder::Address(absl::string_view address) {
  settings_.address.assign(address.data(), address.size());
  return *this;
}

rpc_server_builder& rpc_server_builder::Threads(unsigned threads) {
  settings_.threads = threads;
  return *this;
}

rpc_server_builder& rpc_server_builder::Loop(event_loop* loop) {
  settings_.loop = loop;
  return *this;
}

rpc_server_builder& rpc_server_builder::MaxMessageBytes(size_t bytes) {
  settings_.max_message_bytes = bytes;
  return *this;
}

rpc_server_builder& rpc_server_builder::MaxConnections(unsigned connections) {
  settings_.max_connections = connections;
  return *this;
}

rpc_server_builder& rpc_server_builder::Service(node_service* service) {
  service_ = service;
  return *this;
}

std::unique_ptr<rpc_server> rpc_server_builder::Build() const {
  return std::unique_ptr<rpc_server>(
      new rpc_server(std::make_unique<rpc_server::impl>(settings_, service_)));
}

}  // namespace teaseljunction
