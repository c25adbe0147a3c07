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

/// A connected TCP socket for tests that control every byte.
class raw_socket {
 public:
  explicit raw_socket(int fd) : fd_(fd) {}
  /// Connects to a port of 127.0.0.1. The result is not connected if that fails.
  static raw_socket Connect(uint16_t port);
  raw_socket(raw_socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ~raw_socket() { Close(); }

  bool connected() const { return fd_ >= 0; }
  /// Returns false if the peer has closed the connection.
  bool Write(absl::string_view data) const;
  /// Reads until `end` has arrived, the peer closes, or no data arrives for ten seconds.
  std::string ReadUntil(absl::string_view end) const;
  /// Reads until the peer closes or no data arrives for ten seconds.
  std::string ReadAll() const { return ReadUntil(std::string(1, '\0') + "never"); }
  void Close();
  /// Returns the descriptor, which the caller has to close.
  int Release() { return std::exchange(fd_, -1); }
  /// Closes the connection with a reset.
  void Reset();

 private:
  int fd_;
};

/// A server that runs `on_connection` for each connection on a separate thread.
class raw_server {
 public:
  explicit raw_server(std::function<void(raw_socket&)> on_connection);
  ~raw_server();

  std::string address() const;
  /// Number of connections accepted so far.
  int connections() const;

 private:
  void Run();

  const std::function<void(raw_socket&)> on_connection_;
  int listen_fd_ = -1;
  mutable absl::Mutex mutex_;
  int connections_ = 0;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// Returns a local address on which no socket listens.
std::string UnusedAddress();

}  // namespace teaseljunction
