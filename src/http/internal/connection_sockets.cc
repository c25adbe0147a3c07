#include "http/internal/connection_sockets.h"

#include <sys/socket.h>

#include <cerrno>

namespace teaseljunction {

void connection_sockets::Add(absl::string_view address, int local_port, curl_socket_t socket) {
  endpoints added(address, local_port);
  const auto previous = endpoints_.find(socket);
  if (previous != endpoints_.end()) {
    const auto found = sockets_.find(previous->second);
    if (found != sockets_.end() && found->second == socket) sockets_.erase(found);
  }
  sockets_[added] = socket;
  endpoints_[socket] = std::move(added);
}

bool connection_sockets::HasInput(absl::string_view address, int local_port) const {
  const auto found = sockets_.find(endpoints(address, local_port));
  if (found == sockets_.end()) return true;
  char byte = 0;
  const ssize_t received = recv(found->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}  // namespace teaseljunction
