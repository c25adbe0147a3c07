#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/result.h"
#include "rpc/node_service.h"

namespace teaseljunction {

class event_loop;

/// Settings of an `rpc_server`.
struct rpc_server_settings {
  /// "IP:port" to listen on; port 0 selects a free port.
  std::string address;
  /// Number of server threads, at least one. Ignored when `loop` is set.
  unsigned threads = 2;
  /// When set, calls are served on this loop instead of threads of the server.
  event_loop* loop = nullptr;
  /// Maximum size of a received message. A larger one closes its connection.
  size_t max_message_bytes = size_t{16} << 20;
  /// Limit of the memory for all large messages that one thread, or the loop, is receiving. A
  /// message beyond it closes its connection.
  size_t max_receiving_bytes = size_t{64} << 20;
  /// Maximum number of open connections per thread. Further connections are closed at once.
  unsigned max_connections = 4096;
};

/// Cap'n Proto RPC server of a daemon. Each thread runs one KJ event loop with its own listening
/// socket on the same port.
class rpc_server {
 public:
  /// Calls `Stop`.
  ~rpc_server();
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;

  /// Starts to accept connections and returns the bound port.
  /// Errors: kSettingInvalid when there is no service or the address cannot be parsed or bound,
  /// kInternal.
  result<uint16_t> Start();

  /// Graceful shutdown: stops accepting connections, waits until all running calls have been
  /// answered and the answers have been sent, and stops the server. Returns false when calls were
  /// still running or answers were being sent after `timeout`; they are then cancelled. Blocks the
  /// calling thread.
  bool Drain(absl::Duration timeout);

  /// Stops immediately: closes all connections and cancels running calls. Completions that run
  /// later are ignored.
  void Stop();

 private:
  friend class rpc_server_builder;
  class impl;
  explicit rpc_server(std::unique_ptr<impl> state);

  std::unique_ptr<impl> impl_;
};

/// Builds an `rpc_server`.
class rpc_server_builder {
 public:
  rpc_server_builder& Address(absl::string_view address);
  rpc_server_builder& Threads(unsigned threads);
  /// Serves calls on the thread of `loop`, which must outlive the server, instead of threads of the
  /// server.
  rpc_server_builder& Loop(event_loop* loop);
  rpc_server_builder& MaxMessageBytes(size_t bytes);
  rpc_server_builder& MaxReceivingBytes(size_t bytes);
  rpc_server_builder& MaxConnections(unsigned connections);
  /// Sets the service that handles the calls. It must outlive the server.
  rpc_server_builder& Service(node_service* service);

  std::unique_ptr<rpc_server> Build() const;

 private:
  rpc_server_settings settings_;
  node_service* service_ = nullptr;
};

}  // namespace teaseljunction
