#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace teaseljunction {

/// A connected TCP socket for byte-exact tests.
class raw_socket {
 public:
  explicit raw_socket(int fd) : fd_(fd) {}
  /// Connects to a local port.
  static raw_socket Connect(uint16_t port);
  raw_socket(raw_socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ~raw_socket() { Close(); }

  bool connected() const { return fd_ >= 0; }
  void Write(absl::string_view data) const;
  /// Reads until `end` has arrived, the peer closes, or ten seconds have passed.
  std::string ReadUntil(absl::string_view end) const;
  /// Reads until the peer closes.
  std::string ReadAll() const { return ReadUntil(std::string(1, '\0') + "never"); }
  void Close();

 private:
  int fd_;
};

/// A server that runs `script` for each connection on a thread of its own.
class raw_server {
 public:
  explicit raw_server(std::function<void(raw_socket&)> script);
  ~raw_server();

  std::string address() const;
  int connections() const;

 private:
  void Run();

  const std::function<void(raw_socket&)> script_;
  int listen_fd_ = -1;
  mutable absl::Mutex mutex_;
  int connections_ = 0;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// Returns a local address on which nothing listens.
std::string ClosedAddress();

}  // namespace teaseljunction
