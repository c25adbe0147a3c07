#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "event_loop/event_loop.h"
#include "http/http_server.h"
#include "http/internal/server_loop.h"
#include "http/internal/server_state.h"

namespace teaseljunction {

/// Accepts connections on the first loop and distributes them over all loops.
class http_server::impl {
 public:
  impl(const http_server_settings& settings, http_handler* handler);

  result<uint16_t> Start();
  void DisableKeepAlive() { state_->keep_alive = false; }
  bool Drain(absl::Duration timeout);
  void Stop();

 private:
  // Creates the loops if there is no external one.
  void CreateLoops();
  void AcceptConnections();
  // Stops accepting; connections whose handshake is complete are accepted before.
  void CloseListenSocket();
  void RunOnAllLoops(const std::function<void(server_loop&)>& action);
  void ReadAllInput();
  // Returns true if no connection has a request to be answered, after reading what has arrived.
  bool IsIdle(bool ignore_receiving) const;
  void AnswerPendingRequests();

  const std::shared_ptr<server_state> state_;
  std::vector<std::shared_ptr<event_loop>> own_loops_;
  std::vector<std::shared_ptr<server_loop>> loops_;
  bool started_ = false;
  // The members from here on are used on the thread of the first loop only.
  int listen_fd_ = -1;
  std::unique_ptr<input_watch> listen_watch_;
  size_t next_loop_ = 0;
};

}  // namespace teaseljunction
