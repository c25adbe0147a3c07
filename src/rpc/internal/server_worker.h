#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

#include "rpc/internal/node_impl.h"

namespace teaseljunction {

/// Serves one listening socket of the RPC server on one event loop. Destroying it closes all
/// connections.
class server_worker {
 public:
  virtual ~server_worker() noexcept(false) = default;

  /// Returns the descriptor of the listening socket, which is closed by `StopAccepting`.
  virtual int listen_fd() const = 0;
  /// Closes the listening socket; open connections are kept.
  virtual void StopAccepting() = 0;
  /// Returns the size of the messages that have not been sent completely, in bytes. Waits for the
  /// loop.
  virtual size_t QueuedBytes() = 0;
};

}  // namespace teaseljunction
