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
#include "rpc/internal/server_loop_worker.h"
#include "rpc/internal/server_thread_worker.h"

namespace teaseljunction {
namespace {

/// Time in which connections are still accepted that were being established when a drain began.
constexpr absl::Duration kAcceptGracePeriod = absl::Milliseconds(100);
/// A drain ends when no call is running, no answer waits to be sent, and no `execute` has been
/// started for this long.
constexpr absl::Duration kQuietPeriod = absl::Milliseconds(200);
constexpr absl::Duration kPollInterval = absl::Milliseconds(5);

/// Opens `count` listening sockets on the same port, one for each thread.
result<std::vector<int>> OpenListenSockets(const std::string& text, unsigned count) {
  BOOST_LEAF_AUTO(address, ParseSocketAddress(text));
  // Binding without SO_REUSEPORT fails when another process listens on the port. With the option,
  // both processes would share the incoming connections unnoticed.
  BOOST_LEAF_AUTO(probe, OpenListenSocket(address, false));
  const std::string bound = absl::StrCat(IpOf(text), ":", BoundPort(probe));
  close(probe);
  BOOST_LEAF_AUTO(bound_address, ParseSocketAddress(bound));
  std::vector<int> sockets;
  for (unsigned i = 0; i < count; ++i) {
    result<int> fd = OpenListenSocket(bound_address, true);
    if (!fd) {
      for (const int open_fd : sockets) close(open_fd);
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
    BOOST_LEAF_AUTO(sockets, OpenListenSockets(settings_.address, count));
    const uint16_t port = BoundPort(sockets.front());
    for (const int fd : sockets) workers_.push_back(MakeWorker(fd));
    LOG(INFO) << "rpc: listening on port " << port;
    return port;
  }

  bool Drain(absl::Duration timeout) {
    const system_clock_source clock;
    const absl::Time deadline = clock.Now() + timeout;
    for (const auto& worker : workers_) IgnoreNewConnections(worker->listen_fd());
    absl::SleepFor(std::min(kAcceptGracePeriod, timeout));
    for (const auto& worker : workers_) worker->StopAccepting();
    uint64_t executions = call_counts_.executions;
    absl::Time quiet_since = clock.Now();
    bool drained = false;
    while (!drained && clock.Now() < deadline) {
      absl::SleepFor(kPollInterval);
      const uint64_t previous = std::exchange(executions, call_counts_.executions);
      if (previous != executions) quiet_since = clock.Now();
      drained = clock.Now() - quiet_since >= kQuietPeriod && !IsBusy();
    }
    Stop();
    return drained;
  }

  void Stop() {
    if (workers_.empty()) return;
    workers_.clear();
    LOG(INFO) << "rpc: stopped";
  }

 private:
  // Returns whether a call is running or an answer has not been sent completely.
  bool IsBusy() {
    return call_counts_.running > 0 ||
           std::any_of(workers_.begin(), workers_.end(),
                       [](const auto& worker) { return worker->QueuedBytes() > 0; });
  }

  std::unique_ptr<server_worker> MakeWorker(int fd) {
    if (settings_.loop == nullptr) {
      return std::make_unique<server_thread_worker>(settings_, *service_, fd, call_counts_,
                                                    limiter_);
    }
    return std::make_unique<server_loop_worker>(*settings_.loop, settings_, *service_, fd,
                                                call_counts_, limiter_);
  }

  const rpc_server_settings settings_;
  node_service* const service_;
  server_call_counts call_counts_;
  log_limiter limiter_;
  std::vector<std::unique_ptr<server_worker>> workers_;
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

rpc_server_builder& rpc_server_builder::MaxReceivingBytes(size_t bytes) {
  settings_.max_receiving_bytes = bytes;
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
