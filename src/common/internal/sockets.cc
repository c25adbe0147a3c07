#include "common/sockets.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace teaseljunction {
namespace {

constexpr int kListenBacklog = 4096;

template <class Address>
socket_address ToSocketAddress(const Address& address) {
  socket_address converted;
  std::memcpy(&converted.storage, &address, sizeof(address));
  converted.length = sizeof(address);
  return converted;
}

boost::leaf::error_id CloseAndFail(int fd, absl::string_view operation) {
  const std::string detail = absl::StrCat(operation, ": ", std::strerror(errno));
  if (fd >= 0) close(fd);
  return Fail(error_kind::kSettingInvalid, detail);
}

}  // namespace

result<socket_address> ParseSocketAddress(absl::string_view address) {
  const size_t colon = address.rfind(':');
  uint32_t port = 0;
  const bool has_port =
      colon != absl::string_view::npos && absl::SimpleAtoi(address.substr(colon + 1), &port);
  // A zero byte would end the address before its end.
  if (!has_port || port > 65535 || absl::StrContains(address, '\0')) {
    return Fail(error_kind::kSettingInvalid, absl::StrCat("no \"IP:port\": ", address));
  }
  absl::string_view ip = address.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    sockaddr_in6 v6 = {};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(static_cast<uint16_t>(port));
    const std::string text(ip.substr(1, ip.size() - 2));
    if (inet_pton(AF_INET6, text.c_str(), &v6.sin6_addr) == 1) return ToSocketAddress(v6);
  }
  sockaddr_in v4 = {};
  v4.sin_family = AF_INET;
  v4.sin_port = htons(static_cast<uint16_t>(port));
  if (inet_pton(AF_INET, std::string(ip.data(), ip.size()).c_str(), &v4.sin_addr) == 1)
    return ToSocketAddress(v4);
  return Fail(error_kind::kSettingInvalid, absl::StrCat("no \"IP:port\": ", address));
}

bool IsRemoteAddress(absl::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == absl::string_view::npos) return false;
  const absl::string_view port = address.substr(colon + 1);
  // The parser of numbers also accepts signs, spaces and leading zeros.
  const bool is_plain = !port.empty() && port.front() != '0' &&
                        port.find_first_not_of("0123456789") == absl::string_view::npos;
  return is_plain &&
         Capture<socket_address>([&] { return ParseSocketAddress(address); }).index() == 0;
}

absl::string_view IpOf(absl::string_view address) { return address.substr(0, address.rfind(':')); }

result<int> OpenListenSocket(const socket_address& address, bool reuse_port) {
  const int fd =
      socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  if (fd < 0) return CloseAndFail(fd, "socket");
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  // Accepted sockets inherit TCP_NODELAY.
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (reuse_port && setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) != 0) {
    return CloseAndFail(fd, "SO_REUSEPORT");
  }
  if (bind(fd, address.get(), address.length) != 0) return CloseAndFail(fd, "bind");
  if (listen(fd, kListenBacklog) != 0) return CloseAndFail(fd, "listen");
  return fd;
}

uint16_t BoundPort(int fd) {
  sockaddr_storage storage = {};
  socklen_t length = sizeof(storage);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length) != 0) return 0;
  if (storage.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
}

std::string RemoteIp(int fd) {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  std::array<char, NI_MAXHOST> text{};
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (getpeername(fd, generic, &length) != 0) return "";
  if (getnameinfo(generic, length, text.data(), text.size(), nullptr, 0, NI_NUMERICHOST) != 0) {
    return "";
  }
  return text.data();
}

void IgnoreNewConnections(int fd) {
  // The filter drops segments with SYN but without ACK. It sees a segment from the start of its TCP
  // header, whose byte 13 holds the flags.
  sock_filter code[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, 13),          BPF_STMT(BPF_ALU | BPF_AND | BPF_K, 0x12),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, 0x02, 0, 1), BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, 0xffffffff),
  };
  const sock_fprog program = {static_cast<unsigned short>(std::size(code)), code};
  setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

}  // namespace teaseljunction
