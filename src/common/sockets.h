#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "common/result.h"

namespace teaseljunction {

/// An address in the form of the socket functions.
struct socket_address {
  sockaddr_storage storage = {};
  socklen_t length = 0;

  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// Parses "IPv4:port" or "[IPv6]:port". Names are not resolved. Errors: kSettingInvalid.
result<socket_address> ParseSocketAddress(absl::string_view address);

/// Returns the IP address of an "IP:port" text, which is not checked. The whole text when it has no
/// colon. The result refers to `address`.
absl::string_view IpOf(absl::string_view address);

/// Opens a non-blocking listening TCP socket, to be closed by the caller. With `reuse_port` several
/// sockets can listen on one port. Errors: kSettingInvalid.
result<int> OpenListenSocket(const socket_address& address, bool reuse_port);

/// Returns the port of a bound socket, 0 on failure.
uint16_t BoundPort(int fd);

/// Returns the IP address of the other end of a connected socket, empty on failure.
std::string RemoteIp(int fd);

/// Makes a listening socket ignore new connections, while those that are already being set up can
/// still be accepted. Closing the socket directly would reset the latter after their clients may
/// have sent a request.
void IgnoreNewConnections(int fd);

}  // namespace teaseljunction
