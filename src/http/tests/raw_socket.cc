#include "http/tests/raw_socket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "common/sockets.h"

namespace teaseljunction {
namespace {

int Listen() {
  const auto fd = Capture<int>([]() -> result<int> {
    BOOST_LEAF_AUTO(address, ParseSocketAddress("127.0.0.1:0"));
    return OpenListenSocket(address, false);
  });
  return fd.index() == 0 ? std::get<0>(fd) : -1;
}

}  // namespace

raw_socket raw_socket::Connect(uint16_t port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return raw_socket(-1);
  }
  return raw_socket(fd);
}

bool raw_socket::Write(absl::string_view data) const {
  while (!data.empty()) {
    const ssize_t sent = send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    data.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

std::string raw_socket::ReadUntil(absl::string_view end) const {
  const timeval timeout = {10, 0};
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  std::string data;
  std::array<char, 4096> buffer;
  while (!absl::StrContains(data, end)) {
    const ssize_t got = recv(fd_, buffer.data(), buffer.size(), 0);
    if (got <= 0) break;
    data.append(buffer.data(), static_cast<size_t>(got));
  }
  return data;
}

void raw_socket::Close() {
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

void raw_socket::Reset() {
  const linger immediate = {1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
  Close();
}

raw_server::raw_server(std::function<void(raw_socket&)> on_connection)
    : on_connection_(std::move(on_connection)), listen_fd_(Listen()) {
  acceptor_ = std::thread(&raw_server::Run, this);
}

raw_server::~raw_server() {
  shutdown(listen_fd_, SHUT_RDWR);
  acceptor_.join();
  for (std::thread& thread : threads_) thread.join();
  close(listen_fd_);
}

void raw_server::Run() {
  while (true) {
    fd_set readable;
    FD_ZERO(&readable);
    FD_SET(listen_fd_, &readable);
    if (select(listen_fd_ + 1, &readable, nullptr, nullptr, nullptr) <= 0) return;
    const int fd = accept(listen_fd_, nullptr, nullptr);
    if (fd < 0) return;
    {
      absl::MutexLock lock(&mutex_);
      ++connections_;
    }
    threads_.emplace_back([this, fd] {
      raw_socket connection(fd);
      on_connection_(connection);
    });
  }
}

std::string raw_server::address() const {
  return absl::StrCat("127.0.0.1:", BoundPort(listen_fd_));
}

int raw_server::connections() const {
  absl::MutexLock lock(&mutex_);
  return connections_;
}

std::string UnusedAddress() {
  const int fd = Listen();
  const std::string address = absl::StrCat("127.0.0.1:", BoundPort(fd));
  close(fd);
  return address;
}

}  // namespace teaseljunction
