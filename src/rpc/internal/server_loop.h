#pragma once

#include <kj/async-io.h>

#include <atomic>
#include <memory>
#include <thread>

#include "common/log_limiter.h"
#include "rpc/internal/node_impl.h"
#include "rpc/rpc_server.h"

namespace teaseljunction {

/// One thread of the RPC server with its event loop and its listening socket.
class server_loop {
 public:
  /// Takes over `listen_fd`.
  server_loop(const rpc_server_settings& settings, node_service& service, int listen_fd,
              server_activity& activity, log_limiter& limiter);
  ~server_loop();

  int listen_fd() const { return listen_fd_; }
  /// Closes the listening socket; connections stay open.
  void StopAccepting();
  /// Closes all connections and ends the thread.
  void Stop();

 private:
  struct state;

  void Run();
  static kj::Promise<void> Accept(state& loop);
  static void Serve(state& loop, kj::Own<kj::AsyncIoStream> stream);
  void Post(void (*task)(state&));

  const rpc_server_settings& settings_;
  node_service& service_;
  const int listen_fd_;
  server_activity& activity_;
  log_limiter& limiter_;
  const std::shared_ptr<completion_queue> queue_ = std::make_shared<completion_queue>();
  /// Set by the thread, and used in tasks on it only.
  state* state_ = nullptr;
  std::thread thread_;
};

}  // namespace teaseljunction
