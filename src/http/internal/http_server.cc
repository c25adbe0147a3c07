#include "http/http_server.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "common/clock_source.h"
#include "common/log.h"
#include "common/sockets.h"
#include "http/internal/headers.h"
#include "http/internal/http_server_impl.h"
#include "http/problem.h"

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
/// Interval of the checks for idle connections on a loop.
constexpr absl::Duration kIdleCheckInterval = absl::Milliseconds(500);
/// Maximum number of successive runs of libmicrohttpd before the loop handles other events.
constexpr int kMaxRunsPerTurn = 4;
/// Memory per connection in addition to the request headers, for response headers and body reads.
constexpr size_t kExtraConnectionMemoryBytes = size_t{16} << 10;

server_connection* StateOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info == nullptr ? nullptr : static_cast<server_connection*>(info->socket_context);
}

bool HasUnreadInput(int fd) {
  int bytes = 0;
  return ioctl(fd, FIONREAD, &bytes) == 0 && bytes > 0;
}

/// Returns the number of bytes that the client has sent on a connection so far, or nothing if the
/// system does not tell it.
absl::optional<uint64_t> ReceivedBytes(int fd) {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return absl::nullopt;
  if (info.tcpi_bytes_received == 0) return absl::nullopt;
  return info.tcpi_bytes_received;
}

/// Returns true if the client has sent bytes that do not belong to the requests received so far.
/// libmicrohttpd may have read them already.
bool HasFurtherInput(const server_connection& state) {
  const uint64_t limit = state.answer_limit;
  const auto received = ReceivedBytes(state.fd);
  if (!received || !state.request_bytes) return limit == kNoLimit && HasUnreadInput(state.fd);
  return std::min<uint64_t>(*received, limit) > *state.request_bytes;
}

MHD_Result CollectHeader(void* cls, MHD_ValueKind, const char* key, size_t key_size,
                         const char* value, size_t value_size) {
  auto* headers = static_cast<std::vector<http_header>*>(cls);
  headers->push_back({std::string(key, key_size),
                      value == nullptr ? std::string() : std::string(value, value_size)});
  return MHD_YES;
}

void FreeBody(void* cls) { delete static_cast<std::string*>(cls); }

ssize_t ReadNothing(void*, uint64_t, char*, size_t) { return MHD_CONTENT_READER_END_OF_STREAM; }

/// Creates the response to a HEAD request, with the length that the body would have.
MHD_Response* HeadResponse(const http_response& response) {
  uint64_t length = 0;
  const auto header = FindHeader(response.headers, "Content-Length");
  if (!header || !absl::SimpleAtoi(*header, &length)) length = response.body.size();
  return MHD_create_response_from_callback(length, 1, &ReadNothing, nullptr, nullptr);
}

MHD_Response* BodyResponse(std::string body) {
  auto* owned = new std::string(std::move(body));
  MHD_Response* created = MHD_create_response_from_buffer_with_free_callback_cls(
      owned->size(), owned->data(), &FreeBody, owned);
  if (created == nullptr) FreeBody(owned);
  return created;
}

}  // namespace

http_server::impl::impl(http_server_settings settings, http_handler* handler)
    : settings_(std::move(settings)),
      handler_(handler),
      watcher_(std::make_shared<disconnect_watcher>()) {}

result<uint16_t> http_server::impl::Start() {
  if (handler_ == nullptr) return Fail(error_kind::kSettingInvalid, "the server has no handler");
  if (!watcher_->IsOpen()) return Fail(error_kind::kInternal, "epoll is not available");
  BOOST_LEAF_AUTO(address, ParseSocketAddress(settings_.address));
  BOOST_LEAF_AUTO(fd, OpenListenSocket(address, false));
  listen_fd_ = fd;
  const uint16_t port = BoundPort(fd);
  RunInServingContext([this] {
    watcher_->Start(settings_.loop);
    daemon_ = StartDaemon();
    if (daemon_ != nullptr && (settings_.loop == nullptr || StartOnLoop())) return;
    watcher_->Stop();
    if (daemon_ == nullptr) return;
    // This closes the listening socket.
    MHD_stop_daemon(std::exchange(daemon_, nullptr));
    listen_fd_ = -1;
  });
  if (daemon_ == nullptr) {
    if (listen_fd_ >= 0) close(std::exchange(listen_fd_, -1));
    return Fail(error_kind::kInternal, "the HTTP server could not be started");
  }
  LOG(INFO) << "http: listening on port " << port;
  return port;
}

MHD_Daemon* http_server::impl::StartDaemon() {
  const auto timeout = static_cast<unsigned>(std::max<int64_t>(
      absl::ToInt64Seconds(absl::Ceil(settings_.idle_timeout, absl::Seconds(1))), 1));
  const bool threaded = settings_.loop == nullptr;
  // libmicrohttpd rejects a pool size of 1 with a warning; without the option it uses one thread.
  std::vector<MHD_OptionItem> pool;
  if (threaded && settings_.threads > 1) {
    pool.push_back(
        {MHD_OPTION_THREAD_POOL_SIZE, static_cast<intptr_t>(settings_.threads), nullptr});
  }
  pool.push_back({MHD_OPTION_END, 0, nullptr});
  return MHD_start_daemon(
      (threaded ? MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC : MHD_USE_EPOLL) |
          MHD_ALLOW_SUSPEND_RESUME,
      0, nullptr, nullptr, &impl::OnAccess, this, MHD_OPTION_LISTEN_SOCKET, listen_fd_,
      MHD_OPTION_CONNECTION_LIMIT, std::max(settings_.max_connections, settings_.threads),
      MHD_OPTION_CONNECTION_TIMEOUT, timeout, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      2 * settings_.max_header_bytes + kExtraConnectionMemoryBytes, MHD_OPTION_STRICT_FOR_CLIENT, 1,
      MHD_OPTION_NOTIFY_COMPLETED, &impl::OnCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
      &impl::OnConnection, this, MHD_OPTION_URI_LOG_CALLBACK, &impl::OnRequestLine, this,
      MHD_OPTION_ARRAY, pool.data(), MHD_OPTION_END);
}

bool http_server::impl::StartOnLoop() {
  const MHD_DaemonInfo* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
  if (info == nullptr || info->epoll_fd < 0) return false;
  *serving_ = true;
  watch_ = settings_.loop->WatchInput(info->epoll_fd, [this] { ScheduleDaemonRun(); });
  CheckIdleConnections();
  return true;
}

void http_server::impl::RunInServingContext(absl::AnyInvocable<void()> task) {
  if (settings_.loop == nullptr) return task();
  settings_.loop->RunAndWait(std::move(task));
}

void http_server::impl::OnResumed() {
  if (settings_.loop != nullptr) ScheduleDaemonRun();
}

void http_server::impl::ScheduleDaemonRun() {
  if (run_scheduled_) return;
  run_scheduled_ = true;
  settings_.loop->RunAtTurnEnd([this, serving = serving_] {
    if (*serving) RunDaemon();
  });
}

void http_server::impl::RunDaemon() {
  run_scheduled_ = false;
  connection_accepted_ = false;
  MHD_run(daemon_);
  MHD_UNSIGNED_LONG_LONG wait_ms = 0;
  // A wait of 0 ms means that connections are ready. One run accepts a limited number of
  // connections, and the remaining ones trigger no further event.
  const bool ready = MHD_get_timeout(daemon_, &wait_ms) == MHD_YES && wait_ms == 0;
  if (!ready && !connection_accepted_) {
    runs_in_turn_ = 0;
    return;
  }
  if (++runs_in_turn_ < kMaxRunsPerTurn) return ScheduleDaemonRun();
  // The loop receives no other events as long as each end of a turn schedules the next one.
  runs_in_turn_ = 0;
  if (std::exchange(run_scheduled_, true)) return;
  settings_.loop->Post([this, serving = serving_] {
    if (*serving) RunDaemon();
  });
}

void http_server::impl::CheckIdleConnections() {
  RunDaemon();
  idle_check_timer_ = settings_.loop->RunAt(system_clock_source().Now() + kIdleCheckInterval,
                                            [this, serving = serving_] {
                                              if (*serving) CheckIdleConnections();
                                            });
}

void http_server::impl::OnConnection(void* cls, MHD_Connection* connection, void** context,
                                     MHD_ConnectionNotificationCode code) {
  auto* self = static_cast<impl*>(cls);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    auto* state = new server_connection;
    state->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    state->remote_ip = RemoteIp(state->fd);
    *context = state;
    if (self->settings_.loop != nullptr) self->connection_accepted_ = true;
    absl::MutexLock lock(&self->mutex_);
    self->connections_.insert(state);
    return;
  }
  const std::unique_ptr<server_connection> state(static_cast<server_connection*>(*context));
  *context = nullptr;
  if (state == nullptr) return;
  self->SetStage(*state, request_stage::kNone);
  if (state->requests == 0) self->LogLimited("connection closed without a request");
  absl::MutexLock lock(&self->mutex_);
  self->connections_.erase(state.get());
}

void* http_server::impl::OnRequestLine(void* cls, const char* target, MHD_Connection* connection) {
  auto* self = static_cast<impl*>(cls);
  server_connection* state = StateOf(connection);
  if (state == nullptr) return nullptr;
  state->target = target;
  ++state->requests;
  self->SetStage(*state, request_stage::kReceiving);
  return nullptr;
}

void http_server::impl::SetStage(server_connection& state, request_stage stage) {
  const request_stage previous = state.stage.exchange(stage);
  // Incremented first, so that a request is counted at any time while it changes its stage.
  if (stage == request_stage::kReceiving) ++receiving_connections_;
  if (stage == request_stage::kResponding) ++responding_connections_;
  if (previous == request_stage::kReceiving) --receiving_connections_;
  if (previous == request_stage::kResponding) --responding_connections_;
}

MHD_Result http_server::impl::OnAccess(void* cls, MHD_Connection* connection, const char*,
                                       const char* method, const char*, const char* data,
                                       size_t* size, void** context) {
  auto* self = static_cast<impl*>(cls);
  if (*context == nullptr) return self->BeginRequest(connection, method, context);
  server_request& request = **static_cast<std::shared_ptr<server_request>*>(*context);
  if (*size > 0) {
    const absl::string_view part(data, *size);
    *size = 0;
    server_connection* state = StateOf(connection);
    if (state != nullptr && state->request_bytes) *state->request_bytes += part.size();
    return request.AppendBody(part, self->settings_.max_body_bytes) ? MHD_YES : MHD_NO;
  }
  return self->DispatchOrRespond(connection, request);
}

MHD_Result http_server::impl::BeginRequest(MHD_Connection* connection, const char* method,
                                           void** context) {
  server_connection* state = StateOf(connection);
  if (state == nullptr) return MHD_NO;
  auto request = std::make_shared<server_request>(++next_id_, connection, watcher_, *this);
  *context = new std::shared_ptr<server_request>(request);
  request->message.method = method;
  request->head = request->message.method == MHD_HTTP_METHOD_HEAD;
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  if (info != nullptr && state->request_bytes) *state->request_bytes += info->header_size;
  const absl::optional<error> refusal = CheckHeaders(connection, *state, *request);
  if (info == nullptr || FindHeader(request->message.headers, "Transfer-Encoding")) {
    state->request_bytes.reset();
  }
  if (refusal) {
    SetStage(*state, request_stage::kResponding);
    return Refuse(connection, *refusal);
  }
  request->message.path = std::move(state->target);
  request->message.remote_ip = state->remote_ip;
  return MHD_YES;
}

absl::optional<error> http_server::impl::CheckHeaders(MHD_Connection* connection,
                                                      const server_connection& state,
                                                      server_request& request) const {
  std::vector<http_header>& headers = request.message.headers;
  MHD_get_connection_values_n(connection, MHD_HEADER_KIND, &CollectHeader, &headers);
  size_t bytes = state.target.size() + request.message.method.size();
  int lengths = 0;
  for (const http_header& header : headers) {
    bytes += header.name.size() + header.value.size();
    if (absl::EqualsIgnoreCase(header.name, "Content-Length")) ++lengths;
  }
  if (bytes > settings_.max_header_bytes) return error{error_kind::kHeadersTooLarge, ""};
  if (state.target.empty() || state.target[0] != '/' || !IsHeaderText(state.target)) {
    return error{error_kind::kMalformedRequest, "the request target is not a path"};
  }
  // The next hop may interpret a body with two lengths differently (request smuggling).
  if (lengths > 1 || (lengths == 1 && FindHeader(headers, "Transfer-Encoding"))) {
    return error{error_kind::kMalformedRequest, "the length of the body is ambiguous"};
  }
  uint64_t length = 0;
  const auto declared = FindHeader(headers, "Content-Length");
  if (!declared) return absl::nullopt;
  if (!absl::SimpleAtoi(*declared, &length)) {
    return error{error_kind::kMalformedRequest, "Content-Length is not a number"};
  }
  if (length <= settings_.max_body_bytes) {
    request.message.body.reserve(length);
    return absl::nullopt;
  }
  if (length > kMaxDiscardedBodyBytes || FindHeader(headers, "Expect")) {
    return error{error_kind::kBodyTooLarge, ""};
  }
  request.refusal = error{error_kind::kBodyTooLarge, ""};
  return absl::nullopt;
}

MHD_Result http_server::impl::DispatchOrRespond(MHD_Connection* connection,
                                                server_request& request) {
  if (!request.dispatched) {
    if (server_connection* state = StateOf(connection)) {
      SetStage(*state, request_stage::kResponding);
    }
    if (request.refusal) return Refuse(connection, *request.refusal);
    if (!RegisterRequest(request)) return Refuse(connection, {error_kind::kDraining, ""});
    if (!request.Dispatch(handler_, settings_.loop)) return MHD_YES;
  }
  absl::optional<http_response> response = request.TakeResponse();
  if (!response) return MHD_NO;
  return QueueResponse(connection, request.head, *std::move(response));
}

MHD_Result http_server::impl::Refuse(MHD_Connection* connection, const error& failure) {
  LogLimited(absl::StrCat("request refused: ", AnswerFor(failure.kind).name));
  return QueueResponse(connection, false, ProblemResponse(failure, ""));
}

bool http_server::impl::ClosesAfterResponse(MHD_Connection* connection) {
  if (keep_alive_) return false;
  const server_connection* state = StateOf(connection);
  if (state == nullptr) return true;
  if (!ReceivedBytes(state->fd)) LogLimited("the number of bytes received is not available");
  return !HasFurtherInput(*state);
}

MHD_Result http_server::impl::QueueResponse(MHD_Connection* connection, bool head,
                                            http_response response) {
  if (response.status < 200 || response.status > 599) {
    response = ProblemResponse({error_kind::kInternal, "status out of range"}, "");
  }
  MHD_Response* created = head ? HeadResponse(response) : BodyResponse(std::move(response.body));
  if (created == nullptr) return MHD_NO;
  for (const http_header& header : response.headers) {
    if (IsTransferHeader(header.name)) continue;
    MHD_add_response_header(created, header.name.c_str(), header.value.c_str());
  }
  if (ClosesAfterResponse(connection)) {
    MHD_add_response_header(created, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  const MHD_Result queued =
      MHD_queue_response(connection, static_cast<unsigned>(response.status), created);
  MHD_destroy_response(created);
  return queued;
}

void http_server::impl::OnCompleted(void* cls, MHD_Connection* connection, void** context,
                                    MHD_RequestTerminationCode code) {
  auto* self = static_cast<impl*>(cls);
  server_connection* state = StateOf(connection);
  const std::unique_ptr<std::shared_ptr<server_request>> request(
      static_cast<std::shared_ptr<server_request>*>(*context));
  *context = nullptr;
  if (request != nullptr) self->EndRequest(*request, code);
  // Last, because a drain ends when no request is being answered.
  if (state != nullptr) self->SetStage(*state, request_stage::kNone);
}

void http_server::impl::EndRequest(const std::shared_ptr<server_request>& request,
                                   MHD_RequestTerminationCode code) {
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
    LogLimited("connection closed before the response was sent");
  }
  request->OnCompleted();
  absl::MutexLock lock(&mutex_);
  requests_.erase(request);
}

bool http_server::impl::RegisterRequest(server_request& request) {
  absl::MutexLock lock(&mutex_);
  if (stopping_) return false;
  request.accepted_at = system_clock_source().Now();
  requests_.insert(request.shared_from_this());
  return true;
}

bool http_server::impl::HasPendingInput(bool ignore_receiving) {
  absl::MutexLock lock(&mutex_);
  return std::any_of(connections_.begin(), connections_.end(), [&](const server_connection* state) {
    if (ignore_receiving && state->stage == request_stage::kReceiving) return false;
    return HasUnreadInput(state->fd);
  });
}

void http_server::impl::LimitFurtherRequests() {
  absl::MutexLock lock(&mutex_);
  for (server_connection* state : connections_) {
    state->answer_limit = ReceivedBytes(state->fd).value_or(0);
  }
}

bool http_server::impl::Drain(absl::Duration timeout) {
  if (daemon_ == nullptr) return true;
  const absl::Time deadline = system_clock_source().Now() + timeout;
  // What follows this drain in a stop needs time too.
  const absl::Time last_wait_for_clients = deadline - timeout / 2;
  DisableKeepAlive();
  IgnoreNewConnections(listen_fd_);
  absl::SleepFor(std::min(kAcceptGrace, timeout));
  CloseListenSocket();
  {
    absl::MutexLock lock(&mutex_);
    LOG(INFO) << "http: " << settings_.address << " accepts no more connections; "
              << connections_.size() << " connections and " << requests_.size()
              << " requests are open.";
  }
  const absl::Time linger_end =
      std::min(system_clock_source().Now() + settings_.drain_linger, last_wait_for_clients);
  const absl::Time receive_end =
      std::min(linger_end + kIncompleteRequestTimeout, last_wait_for_clients);
  bool limited = false;
  for (absl::Time now; (now = system_clock_source().Now()) < deadline;) {
    {
      absl::MutexLock lock(&mutex_);
      if (connections_.empty()) break;
    }
    const bool ignore_receiving = now >= receive_end;
    if (ignore_receiving && !std::exchange(limited, true)) LimitFurtherRequests();
    if (now >= linger_end && !HasPendingInput(ignore_receiving) &&
        (ignore_receiving || receiving_connections_ == 0) && responding_connections_ == 0) {
      absl::ReleasableMutexLock lock(&mutex_);
      stopping_ = true;
      lock.Release();
      // False if a request was received completely since the check above.
      if (responding_connections_ == 0) break;
    }
    absl::SleepFor(kPollInterval);
  }
  // The handler has not got the requests that are still being received.
  const bool drained = responding_connections_ == 0;
  Stop();
  return drained;
}

void http_server::impl::CloseListenSocket() {
  RunInServingContext(
      [this] { listening_stopped_ = MHD_quiesce_daemon(daemon_) != MHD_INVALID_SOCKET; });
  // Server threads may still use the descriptor, so it is closed after the daemon has stopped.
  if (listening_stopped_) shutdown(listen_fd_, SHUT_RDWR);
}

void http_server::impl::AnswerPendingRequests() {
  std::vector<std::shared_ptr<server_request>> open;
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    open.assign(requests_.begin(), requests_.end());
  }
  keep_alive_ = false;
  if (!open.empty()) LogAbandoned(open);
  // libmicrohttpd aborts the process if a connection is still suspended when the daemon is stopped.
  for (const auto& request : open) {
    request->Respond(ProblemResponse({error_kind::kOutcomeUnknown, "the daemon stopped"}, ""));
  }
}

void http_server::impl::LogAbandoned(
    absl::Span<const std::shared_ptr<server_request>> abandoned) const {
  const auto [first, last] = std::minmax_element(
      abandoned.begin(), abandoned.end(),
      [](const auto& a, const auto& b) { return a->accepted_at < b->accepted_at; });
  const absl::Time now = system_clock_source().Now();
  LOG(WARNING) << "http: " << settings_.address << " stops with " << abandoned.size()
               << " requests without a response, accepted between "
               << absl::ToInt64Milliseconds(now - (*first)->accepted_at) << " ms and "
               << absl::ToInt64Milliseconds(now - (*last)->accepted_at) << " ms ago.";
}

void http_server::impl::Stop() {
  if (daemon_ == nullptr) return;
  RunInServingContext([this] { AnswerPendingRequests(); });
  const absl::Time flush_end = system_clock_source().Now() + kResponseFlushTimeout;
  while (responding_connections_ > 0 && system_clock_source().Now() < flush_end)
    absl::SleepFor(kPollInterval);
  RunInServingContext([this] {
    *serving_ = false;
    watch_.reset();
    if (settings_.loop != nullptr) settings_.loop->Cancel(idle_check_timer_);
    MHD_stop_daemon(std::exchange(daemon_, nullptr));
    watcher_->Stop();
  });
  if (listening_stopped_) close(listen_fd_);
  listen_fd_ = -1;
  LOG(INFO) << "http: server stopped";
}

void http_server::impl::LogLimited(absl::string_view line) {
  const auto suppressed = log_limiter_.Allow();
  if (!suppressed) return;
  LOG(WARNING) << "http: " << line
               << (*suppressed > 0
                       ? absl::StrCat(" (", *suppressed, " similar messages suppressed)")
                       : "");
}

http_server::http_server(std::unique_ptr<impl> state) : impl_(std::move(state)) {}
http_server::~http_server() { impl_->Stop(); }
result<uint16_t> http_server::Start() { return impl_->Start(); }
bool http_server::Drain(absl::Duration timeout) { return impl_->Drain(timeout); }
void http_server::DisableKeepAlive() { impl_->DisableKeepAlive(); }
void http_server::Stop() { impl_->Stop(); }

}  // namespace teaseljunction
