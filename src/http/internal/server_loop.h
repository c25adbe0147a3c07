#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "event_loop/event_loop.h"
#include "http/internal/server_connection.h"
#include "http/internal/server_state.h"

namespace teaseljunction {

/// The connections that one event loop serves. Except for `Stop`, all members are used on the
/// thread of the loop.
class server_loop : public std::enable_shared_from_this<server_loop> {
 public:
  server_loop(std::shared_ptr<server_state> server, std::shared_ptr<event_loop> loop);

  event_loop& Loop() { return *loop_; }

  /// Starts the checks for silent clients. `on_check` runs with each of them.
  void Start(std::function<void()> on_check);

  /// Serves the non-blocking socket `fd`.
  void AddConnection(int fd);

  /// Runs `action` for each connection.
  void ForEach(const std::function<void(server_connection&)>& action);

  /// Closes all connections. Waits until they have been destroyed.
  void Stop();

 private:
  void CheckTimeouts();
  // Adds a connection to those that wait for memory.
  void AddWaiting(server_connection& connection);
  // Goes on with the connections that wait for memory, the first in line first.
  void ResumeWaiting();

  const std::shared_ptr<server_state> server_;
  const std::shared_ptr<event_loop> loop_;
  std::vector<char> read_buffer_;
  std::function<void()> on_check_;
  bool running_ = false;
  uint64_t timer_ = 0;
  uint64_t resume_timer_ = 0;
  // In the order in which they began to wait.
  std::vector<std::weak_ptr<server_connection>> waiting_;
  absl::flat_hash_map<server_connection*, std::shared_ptr<server_connection>> connections_;
};

}  // namespace teaseljunction
