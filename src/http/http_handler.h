#pragma once

#include <memory>

#include "absl/functional/any_invocable.h"
#include "http/types.h"

namespace teaseljunction {

/// One request on a connection of the HTTP server. Thread-safe.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  /// Sends the response. The first call counts; later ones are ignored.
  virtual void Respond(http_response response) = 0;

  /// Sets a callback that runs at most once, when the client disconnects before the response. A
  /// client that closes only its sending side counts as disconnected. The connection is then closed
  /// and later responses are ignored. The callback is dropped once there is a response.
  virtual void OnDisconnect(absl::AnyInvocable<void()> callback) = 0;
};

/// Receives whole requests from the HTTP server. Called on a server thread; must not block.
class http_handler {
 public:
  virtual ~http_handler() = default;

  virtual void Handle(http_request request, std::shared_ptr<http_exchange> exchange) = 0;
};

}  // namespace teaseljunction
