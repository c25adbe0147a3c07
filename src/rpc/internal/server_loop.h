#pragma once

#include <atomic>
#include <memory>

#include "rpc/internal/node_impl.h"

namespace teaseljunction {

/// One event loop of the RPC server with its listening socket. Destroying it closes all
/// connections.
class server_loop {
 public:
  virtual ~server_loop() noexcept(false) = default;

  virtual int listen_fd() const = 0;
  /// Closes the listening socket; connections stay open.
  virtual void StopAccepting() = 0;
};

}  // namespace teaseljunction
