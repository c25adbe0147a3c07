#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "common/result.h"

namespace teaseljunction {

/// A socket address as the system's socket functions take it.
struct socket_address {
  sockaddr_storage storage = {};
  socklen_t length = 0;

  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// Parses "IPv4:port" or "[IPv6]:port". Host names are not resolved. Errors:
/// kSettingInvalid.
result<socket_address> ParseSocketAddress(absl::string_view address);

/// Returns whether `address` is "IPv4:port" or "[IPv6]:port" that a client can connect to, with a
/// port from 1 to 65535 in digits without leading zeros.
bool IsRemoteAddress(absl::string_view address);

/// Returns the IP address of an "IP:port" string, with the brackets of an IPv6 address, or the
/// whole string if it has no colon. The string is not validated. The result refers to `address`.
absl::string_view IpOf(absl::string_view address);

/// Opens a non-blocking, listening TCP socket; the caller closes it. With `reuse_port`, several
/// sockets can listen on the same port. Errors: kSettingInvalid.
result<int> OpenListenSocket(const socket_address& address, bool reuse_port);

/// Returns the local port of a bound socket, or 0 on failure.
uint16_t BoundPort(int fd);

/// Returns the IP address of the peer of a connected socket, or an empty string on failure.
std::string RemoteIp(int fd);

/// Makes a listening socket drop new connection attempts, while connections whose handshake has
/// begun can still be accepted. Closing the socket at once would reset these, although their
/// clients may already have sent a request.
void IgnoreNewConnections(int fd);

}  // namespace teaseljunction
