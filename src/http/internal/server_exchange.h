#pragma once

#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"
#include "http/http_handler.h"
#include "http/request_memory.h"

namespace teaseljunction {

class event_loop;
class server_connection;

/// Charges for a request that the handler has.
struct running_memory {
  memory_hold body;
  memory_hold copies;
};

/// What a connection and the handler share of one request. Thread-safe.
class exchange_state {
 public:
  /// Returns true for the first response, unless the client has disconnected before.
  bool AcceptResponse();

  /// Returns false once there is a response or the client has disconnected.
  bool AwaitsResponse();

  /// See `http_exchange::OnDisconnect`.
  void OnDisconnect(absl::AnyInvocable<void()> callback);

  /// Ends the exchange and runs the callback, if there was no response.
  void NotifyDisconnect();

 private:
  absl::Mutex mutex_;
  bool responded_ ABSL_GUARDED_BY(mutex_) = false;
  bool disconnected_ ABSL_GUARDED_BY(mutex_) = false;
  absl::AnyInvocable<void()> on_disconnect_ ABSL_GUARDED_BY(mutex_);
};

/// Returns the exchange that the handler gets for request `number` of `connection`. Responses are
/// passed on to the thread of `loop`. If the handler destroys the exchange without a response, the
/// request is answered with kInternal. `memory` is held until the handler destroys the exchange,
/// because it keeps the body of the request as long, also when the client has gone.
std::shared_ptr<http_exchange> MakeExchange(std::shared_ptr<exchange_state> state,
                                            std::weak_ptr<server_connection> connection,
                                            uint64_t number, std::shared_ptr<event_loop> loop,
                                            running_memory memory);

}  // namespace teaseljunction
