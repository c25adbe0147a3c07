#include "http/http_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "common/clock_source.h"
#include "common/log.h"
#include "common/sockets.h"
#include "http/internal/http_server_impl.h"

namespace teaseljunction {
namespace {

/// Time in which connections whose handshake had begun can still be accepted after `Drain` begins.
constexpr absl::Duration kAcceptGrace = absl::Milliseconds(100);
/// Time after the linger for which `Drain` waits for the rest of requests that have been received
/// in part.
constexpr absl::Duration kIncompleteRequestTimeout = absl::Seconds(1);
/// Maximum time that `Stop` waits for the last responses to be sent.
constexpr absl::Duration kResponseFlushTimeout = absl::Milliseconds(250);
constexpr absl::Duration kPollInterval = absl::Milliseconds(2);
/// Maximum number of connections that are accepted before the loop handles other events.
constexpr int kMaxAcceptsPerTurn = 64;

/// Clock of the loops of servers without an external loop.
const clock_source& LoopClock() {
  static const system_clock_source clock;
  return clock;
}

}  // namespace

void server_state::LogLimited(absl::string_view line) {
  const auto suppressed = limiter.Allow();
  if (!suppressed) return;
  LOG(WARNING) << "http: " << line
               << (*suppressed > 0
                       ? absl::StrCat(" (", *suppressed, " similar messages suppressed)")
                       : "");
}

http_server::impl::impl(const http_server_settings& settings, http_handler* handler)
    : state_(std::make_shared<server_state>(settings, handler)) {}

result<uint16_t> http_server::impl::Start() {
  if (state_->handler == nullptr) {
    return Fail(error_kind::kSettingInvalid, "the server has no handler");
  }
  BOOST_LEAF_AUTO(address, ParseSocketAddress(state_->settings.address));
  BOOST_LEAF_AUTO(fd, OpenListenSocket(address, false));
  const uint16_t port = BoundPort(fd);
  CreateLoops();
  started_ = true;
  loops_.front()->Loop().RunAndWait([&] {
    listen_fd_ = fd;
    listen_watch_ = loops_.front()->Loop().WatchInput(fd, [this] { AcceptConnections(); });
  });
  for (const auto& loop : loops_) {
    const bool accepts = loop == loops_.front();
    // Accepting stops while there are too many connections or no descriptors are left.
    loop->Loop().RunAndWait([&] {
      loop->Start([this, accepts] {
        if (accepts) AcceptConnections();
      });
    });
  }
  LOG(INFO) << "http: listening on port " << port;
  return port;
}

void http_server::impl::CreateLoops() {
  if (state_->settings.loop != nullptr) {
    // The loop outlives the server.
    const std::shared_ptr<event_loop> loop(state_->settings.loop, [](event_loop*) {});
    loops_.push_back(std::make_shared<server_loop>(state_, loop));
    return;
  }
  for (unsigned i = 0; i < std::max(state_->settings.threads, 1U); ++i) {
    own_loops_.push_back(std::make_shared<event_loop>(LoopClock()));
    loops_.push_back(std::make_shared<server_loop>(state_, own_loops_.back()));
  }
}

void http_server::impl::AcceptConnections() {
  for (int accepts = 0; listen_fd_ >= 0; ++accepts) {
    if (state_->connections >= state_->settings.max_connections) return;
    if (accepts == kMaxAcceptsPerTurn) {
      // The next check accepts the rest if this task does not run any more.
      loops_.front()->Loop().Post([this, server = std::weak_ptr<server_state>(state_)] {
        if (const auto alive = server.lock()) AcceptConnections();
      });
      return;
    }
    const int fd = accept4(listen_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && (errno == EINTR || errno == ECONNABORTED)) continue;
    if (fd < 0 && errno != EAGAIN) {
      state_->LogLimited(absl::StrCat("cannot accept connections, error ", errno));
    }
    if (fd < 0) return;
    const auto& loop = loops_[next_loop_++ % loops_.size()];
    loop->Loop().Run([loop, fd] { loop->AddConnection(fd); });
  }
}

void http_server::impl::RunOnAllLoops(const std::function<void(server_loop&)>& action) {
  for (const auto& loop : loops_) loop->Loop().RunAndWait([&] { action(*loop); });
}

void http_server::impl::ReadAllInput() {
  RunOnAllLoops([](server_loop& loop) {
    loop.ForEach([](server_connection& connection) { connection.ReadInput(); });
  });
}

bool http_server::impl::IsIdle(bool ignore_receiving) const {
  return state_->answering_connections == 0 &&
         (ignore_receiving || state_->receiving_connections == 0);
}

bool http_server::impl::Drain(absl::Duration timeout) {
  if (!started_) return true;
  const absl::Time deadline = system_clock_source().Now() + timeout;
  // What follows this drain in a stop needs time too.
  const absl::Time last_wait_for_clients = deadline - timeout / 2;
  DisableKeepAlive();
  loops_.front()->Loop().RunAndWait([this] {
    if (listen_fd_ >= 0) IgnoreNewConnections(listen_fd_);
  });
  absl::SleepFor(std::min(kAcceptGrace, timeout));
  CloseListenSocket();
  LOG(INFO) << "http: " << state_->settings.address << " accepts no more connections; "
            << state_->connections << " connections are open, " << state_->answering_connections
            << " of them with requests.";
  const absl::Time linger_end =
      std::min(system_clock_source().Now() + state_->settings.drain_linger, last_wait_for_clients);
  const absl::Time receive_end =
      std::min(linger_end + kIncompleteRequestTimeout, last_wait_for_clients);
  bool receiving_stopped = false;
  for (absl::Time now; (now = system_clock_source().Now()) < deadline;) {
    if (state_->connections == 0) break;
    const bool ignore_receiving = now >= receive_end;
    if (ignore_receiving && !std::exchange(receiving_stopped, true)) {
      RunOnAllLoops([](server_loop& loop) {
        loop.ForEach([](server_connection& connection) { connection.StopReceiving(); });
      });
    }
    if (now >= linger_end && IsIdle(ignore_receiving)) {
      ReadAllInput();
      if (IsIdle(ignore_receiving)) {
        state_->stopping = true;
        // Refuses requests that have arrived since.
        ReadAllInput();
        if (state_->answering_connections == 0) break;
      }
    }
    absl::SleepFor(kPollInterval);
  }
  // The handler has not got the requests that are still being received.
  const bool drained = state_->answering_connections == 0;
  Stop();
  return drained;
}

void http_server::impl::CloseListenSocket() {
  loops_.front()->Loop().RunAndWait([this] {
    AcceptConnections();
    listen_watch_.reset();
    if (listen_fd_ >= 0) close(std::exchange(listen_fd_, -1));
  });
}

void http_server::impl::AnswerPendingRequests() {
  state_->stopping = true;
  state_->keep_alive = false;
  abandoned_requests abandoned;
  RunOnAllLoops([&](server_loop& loop) {
    loop.ForEach([&](server_connection& connection) { connection.AnswerPending(abandoned); });
  });
  if (abandoned.count == 0) return;
  const absl::Time now = system_clock_source().Now();
  LOG(WARNING) << "http: " << state_->settings.address << " stops with " << abandoned.count
               << " requests without a response, accepted between "
               << absl::ToInt64Milliseconds(now - abandoned.first_received_at) << " ms and "
               << absl::ToInt64Milliseconds(now - abandoned.last_received_at) << " ms ago.";
}

void http_server::impl::Stop() {
  if (!std::exchange(started_, false)) return;
  CloseListenSocket();
  AnswerPendingRequests();
  const absl::Time flush_end = system_clock_source().Now() + kResponseFlushTimeout;
  while (state_->answering_connections > 0 && system_clock_source().Now() < flush_end) {
    absl::SleepFor(kPollInterval);
  }
  for (const auto& loop : loops_) loop->Stop();
  for (const auto& loop : own_loops_) loop->Stop();
  LOG(INFO) << "http: server stopped";
}

http_server::http_server(std::unique_ptr<impl> state) : impl_(std::move(state)) {}
http_server::~http_server() { impl_->Stop(); }
result<uint16_t> http_server::Start() { return impl_->Start(); }
bool http_server::Drain(absl::Duration timeout) { return impl_->Drain(timeout); }
void http_server::DisableKeepAlive() { impl_->DisableKeepAlive(); }
void http_server::Stop() { impl_->Stop(); }

}  // namespace teaseljunction
