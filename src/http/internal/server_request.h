#pragma once

#include <microhttpd.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/error_kind.h"
#include "http/http_handler.h"
#include "http/internal/disconnect_watcher.h"
#include "http/types.h"

namespace teaseljunction {

class event_loop;

/// Notified on the resuming thread when a suspended connection is resumed.
class resume_listener {
 public:
  virtual ~resume_listener() = default;
  virtual void OnResumed() = 0;
};

/// A request on a connection, from its headers to the end of its response. Shared by the server and
/// the handler's exchange; thread-safe once `Dispatch` was called.
class server_request : public std::enable_shared_from_this<server_request> {
 public:
  /// `listener` must outlive the connection.
  server_request(uint64_t id, MHD_Connection* connection,
                 std::shared_ptr<disconnect_watcher> watcher, resume_listener& listener);

  /// Appends a part of the body. Once the body exceeds `limit`, the request is refused and the rest
  /// of the body is read and discarded, so that the client can read the response. Returns false if
  /// more than kMaxDiscardedBodyBytes were discarded and the connection is to be closed.
  bool AppendBody(absl::string_view data, size_t limit);

  /// Passes the received request to the handler. Returns true if the handler has responded already;
  /// otherwise the connection is suspended until it does.
  bool Dispatch(http_handler* handler, event_loop* loop);

  /// Takes the response, or returns nothing if the connection is to be closed.
  absl::optional<http_response> TakeResponse();

  /// Sets the response and resumes a suspended connection. Calls after the first one are ignored.
  void Respond(http_response response);

  /// Returns false once there is a response or the client has disconnected.
  bool AwaitsResponse();

  /// Sets the callback that runs if the client disconnects before the response.
  void OnDisconnect(absl::AnyInvocable<void()> callback);

  /// Called by the watcher. Resumes the suspended connection, so that it is closed, and runs the
  /// callback.
  void OnClientDisconnected();

  /// Called when the connection has finished with this request.
  void OnCompleted();

  /// Error with which the request is refused once its body has been received.
  absl::optional<error> refusal;
  http_request message;
  /// True for HEAD requests; kept here because `message` is moved to the handler.
  bool head = false;
  /// True once the message was passed to the handler.
  bool dispatched = false;
  /// Time at which the complete request was registered for the handler.
  absl::Time accepted_at;

 private:
  enum class phase : uint8_t { kReceiving, kHandling, kSuspended, kResumed, kEnded };

  void Watch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Resume() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const uint64_t id_;
  MHD_Connection* const connection_;
  const int fd_;
  const std::shared_ptr<disconnect_watcher> watcher_;
  resume_listener& listener_;
  size_t discarded_bytes_ = 0;
  absl::Mutex mutex_;
  phase phase_ ABSL_GUARDED_BY(mutex_) = phase::kReceiving;
  bool responded_ ABSL_GUARDED_BY(mutex_) = false;
  bool disconnected_ ABSL_GUARDED_BY(mutex_) = false;
  bool watched_ ABSL_GUARDED_BY(mutex_) = false;
  absl::optional<http_response> response_ ABSL_GUARDED_BY(mutex_);
  absl::AnyInvocable<void()> on_disconnect_ ABSL_GUARDED_BY(mutex_);
};

/// Maximum number of body bytes that are read and discarded to refuse a request.
constexpr size_t kMaxDiscardedBodyBytes = size_t{16} << 20;

/// Returns the exchange that the handler gets for `request`. If the handler destroys it without a
/// response, the request is answered with kInternal. With a `loop`, responses are forwarded to its
/// thread.
std::shared_ptr<http_exchange> MakeExchange(std::shared_ptr<server_request> request,
                                            event_loop* loop);

}  // namespace teaseljunction
