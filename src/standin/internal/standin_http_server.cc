#include "standin/standin_http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <memory>
#include <thread>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

namespace teaseljunction {
namespace {

constexpr unsigned int kServerThreads = 2;
constexpr unsigned int kMaxConnections = 8'192;
constexpr unsigned int kIdleTimeoutSeconds = 60;
constexpr size_t kMaxBodyBytes = 8 << 20;
constexpr absl::Duration kIdlePollInterval = absl::Milliseconds(10);
constexpr const char* kContextHeader = "Teaseljunction-Context";

// Returns true when the peer has closed the connection. Does not consume received data.
bool HasPeerClosed(int fd) {
  char byte = 0;
  const ssize_t received = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) return false;
  return received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

MHD_Result AddHeader(void* list, MHD_ValueKind, const char* name, const char* value) {
  static_cast<std::vector<http_header>*>(list)->push_back({name, value == nullptr ? "" : value});
  return MHD_YES;
}

MHD_Result AddArgument(void* path, MHD_ValueKind, const char* name, const char* value) {
  std::string& text = *static_cast<std::string*>(path);
  absl::StrAppend(&text, absl::StrContains(text, '?') ? "&" : "?", name);
  if (value != nullptr) absl::StrAppend(&text, "=", value);
  return MHD_YES;
}

// Replaces the default unescaping of libmicrohttpd and leaves percent-encoding in place.
size_t KeepEncoded(void*, MHD_Connection*, char* text) { return std::strlen(text); }

// Every reply repeats the context of its request, so that the daemon can match them.
MHD_Result QueueReply(MHD_Connection* connection, const standin_request& request,
                      const standin_reply& reply) {
  MHD_Response* response = MHD_create_response_from_buffer(
      reply.body.size(), const_cast<char*>(reply.body.data()), MHD_RESPMEM_MUST_COPY);
  for (const http_header& header : reply.headers) {
    MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
  }
  if (const auto context = FindHeader(request.headers, kContextHeader)) {
    MHD_add_response_header(response, kContextHeader, std::string(*context).c_str());
  }
  const MHD_Result queued = MHD_queue_response(connection, reply.status, response);
  MHD_destroy_response(response);
  return queued;
}

}  // namespace

/// State of one request and its reply, which the service runner's thread sets.
struct standin_http_server::exchange {
  standin_request request;
  bool too_large = false;
  bool dispatched = false;
  absl::Mutex mutex;
  bool answered ABSL_GUARDED_BY(mutex) = false;
  standin_reply reply ABSL_GUARDED_BY(mutex);
};

/// Callbacks for libmicrohttpd.
struct standin_http_callbacks {
  static MHD_Result HandleRequest(void* server, MHD_Connection* connection, const char* url,
                                  const char* method, const char*, const char* data,
                                  size_t* data_size, void** state) {
    return static_cast<standin_http_server*>(server)->HandleRequest(connection, url, method, data,
                                                                    data_size, state) != 0
               ? MHD_YES
               : MHD_NO;
  }

  static void Completed(void* server, MHD_Connection*, void** state, MHD_RequestTerminationCode) {
    if (*state == nullptr) return;
    delete static_cast<std::shared_ptr<standin_http_server::exchange>*>(*state);
    *state = nullptr;
    --static_cast<standin_http_server*>(server)->open_exchanges_;
  }
};

standin_http_server::standin_http_server(service_runner& runner, endpoint_handler handler)
    : runner_(runner), endpoint_handler_(std::move(handler)) {}

standin_http_server::~standin_http_server() {
  if (server_ != nullptr) MHD_stop_daemon(server_);
}

result<std::string> standin_http_server::Listen(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  uint32_t port = 0;
  if (colon == std::string::npos || !absl::SimpleAtoi(address.substr(colon + 1), &port) ||
      port > 65'535 ||
      inet_pton(AF_INET, address.substr(0, colon).c_str(), &socket_address.sin_addr) != 1) {
    return Fail(error_kind::kSettingInvalid, absl::StrCat(address, " is not an IPv4:port"));
  }
  socket_address.sin_port = htons(static_cast<uint16_t>(port));
  server_ = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, nullptr,
      nullptr, &standin_http_callbacks::HandleRequest, this, MHD_OPTION_SOCK_ADDR, &socket_address,
      MHD_OPTION_THREAD_POOL_SIZE, kServerThreads, MHD_OPTION_CONNECTION_LIMIT, kMaxConnections,
      MHD_OPTION_CONNECTION_TIMEOUT, kIdleTimeoutSeconds, MHD_OPTION_UNESCAPE_CALLBACK,
      &KeepEncoded, nullptr, MHD_OPTION_NOTIFY_COMPLETED, &standin_http_callbacks::Completed, this,
      MHD_OPTION_END);
  if (server_ == nullptr) {
    return Fail(error_kind::kSettingInvalid,
                absl::StrCat("cannot listen on ", address, ": ", std::strerror(errno)));
  }
  const MHD_DaemonInfo* bound = MHD_get_daemon_info(server_, MHD_DAEMON_INFO_BIND_PORT);
  return absl::StrCat(address.substr(0, colon), ":", bound->port);
}

bool standin_http_server::WaitUntilIdle(absl::Duration timeout) {
  for (absl::Duration waited; open_exchanges_ > 0; waited += kIdlePollInterval) {
    if (waited >= timeout) return false;
    absl::SleepFor(kIdlePollInterval);
  }
  return true;
}

int standin_http_server::HandleRequest(MHD_Connection* connection, const char* url,
                                       const char* method, const char* data, size_t* data_size,
                                       void** state) {
  if (*state == nullptr) {
    auto created = std::make_unique<std::shared_ptr<exchange>>(std::make_shared<exchange>());
    standin_request& request = (*created)->request;
    request.method = method;
    request.path = url;
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddArgument, &request.path);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader, &request.headers);
    ++open_exchanges_;
    *state = created.release();
    return 1;
  }
  const std::shared_ptr<exchange>& current = *static_cast<std::shared_ptr<exchange>*>(*state);
  if (*data_size > 0) {
    current->too_large |= current->request.body.size() + *data_size > kMaxBodyBytes;
    if (!current->too_large) current->request.body.append(data, *data_size);
    *data_size = 0;
    return 1;
  }
  return Dispatch(connection, *current);
}

int standin_http_server::Dispatch(MHD_Connection* connection, exchange& current) {
  if (current.too_large) return QueueReply(connection, current.request, {413, {}, ""});
  if (absl::StartsWith(current.request.path, "/standin/")) {
    return QueueReply(connection, current.request, endpoint_handler_(current.request));
  }
  if (current.dispatched) {
    absl::MutexLock lock(&current.mutex);
    return QueueReply(connection, current.request, current.reply);
  }
  current.dispatched = true;
  const int fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  MHD_suspend_connection(connection);
  // The connection and `current` stay valid until the connection is resumed.
  runner_.Submit(
      current.request,
      [connection, &current](standin_reply reply) {
        {
          absl::MutexLock lock(&current.mutex);
          if (std::exchange(current.answered, true)) return;
          current.reply = std::move(reply);
        }
        MHD_resume_connection(connection);
      },
      [fd] { return HasPeerClosed(fd); });
  return 1;
}

}  // namespace teaseljunction
