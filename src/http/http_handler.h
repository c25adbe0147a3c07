#pragma once

#include <memory>

#include "absl/functional/any_invocable.h"
#include "http/types.h"

namespace teaseljunction {

/// A request received by the HTTP server that awaits its response. Thread-safe.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  /// Sends the response. Calls after the first one are ignored.
  virtual void Respond(http_response response) = 0;

  /// Sets a callback that runs at most once, if the client disconnects before the response. A
  /// client that shuts down only its sending side counts as disconnected. The connection is then
  /// closed and later responses are ignored. The callback is destroyed once there is a response.
  virtual void OnDisconnect(absl::AnyInvocable<void()> callback) = 0;
};

/// Handles complete requests of the HTTP server. Called on a server thread; must not block.
class http_handler {
 public:
  virtual ~http_handler() = default;

  virtual void Handle(http_request request, std::shared_ptr<http_exchange> exchange) = 0;

  /// Returns true if the request may be handled at the same time as other requests of its
  /// connection. All others are handled alone, in the order of their arrival. Called on a server
  /// thread.
  virtual bool MayOverlap(const http_request& request) const;
};

}  // namespace teaseljunction
