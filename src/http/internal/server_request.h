#pragma once

#include <microhttpd.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"
#include "common/error_kind.h"
#include "http/http_handler.h"
#include "http/internal/disconnect_watcher.h"
#include "http/types.h"

namespace teaseljunction {

class event_loop;

/// Is told when a suspended connection may go on, on the thread that resumed it.
class resume_listener {
 public:
  virtual ~resume_listener() = default;
  virtual void OnResumed() = 0;
};

/// One request of a connection, from its headers to the end of its response. Shared by the server
/// and the handler's exchange; thread-safe from `Hand` on.
class server_request : public std::enable_shared_from_this<server_request> {
 public:
  /// `listener` outlives the connection.
  server_request(uint64_t id, MHD_Connection* connection,
                 std::shared_ptr<disconnect_watcher> watcher, resume_listener& listener);

  /// Adds a part of the body. Once the body is larger than `limit` the request is refused and the
  /// rest is dropped, so that the client can read the response. Returns false when too much was
  /// dropped and the connection is to be closed.
  bool AppendBody(absl::string_view data, size_t limit);

  /// Passes the received request to the handler. Returns true when it has responded already;
  /// otherwise the connection is suspended until it does.
  bool Hand(http_handler* handler, event_loop* loop);

  /// Takes the response, or nothing when the connection is to be closed.
  absl::optional<http_response> TakeResponse();

  /// Sets the response; only the first one counts. Resumes a suspended connection.
  void Respond(http_response response);

  /// False once there is a response or the client has gone.
  bool AwaitsResponse();

  /// Sets the callback for a client that disconnects before the response.
  void OnDisconnect(absl::AnyInvocable<void()> callback);

  /// Called by the watcher: closes the suspended connection and runs the callback.
  void ClientGone();

  /// Called when the connection is done with this request.
  void End();

  /// Set while the body is received; the request is refused at its end.
  absl::optional<error> refusal;
  http_request message;
  /// True for HEAD; kept because the message is moved to the handler.
  bool head = false;
  bool handed = false;

 private:
  enum class phase : uint8_t { kReceiving, kHandling, kSuspended, kResumed, kEnded };

  void Watch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Resume() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const uint64_t id_;
  MHD_Connection* const connection_;
  const int fd_;
  const std::shared_ptr<disconnect_watcher> watcher_;
  resume_listener& listener_;
  size_t dropped_bytes_ = 0;
  absl::Mutex mutex_;
  phase phase_ ABSL_GUARDED_BY(mutex_) = phase::kReceiving;
  bool responded_ ABSL_GUARDED_BY(mutex_) = false;
  bool gone_ ABSL_GUARDED_BY(mutex_) = false;
  bool watched_ ABSL_GUARDED_BY(mutex_) = false;
  absl::optional<http_response> response_ ABSL_GUARDED_BY(mutex_);
  absl::AnyInvocable<void()> on_disconnect_ ABSL_GUARDED_BY(mutex_);
};

/// Bound of the body bytes that are read and dropped before a request is refused.
constexpr size_t kMaxDroppedBytes = size_t{16} << 20;

/// Returns the handler's view of `request`. When the handler drops it without a response, the
/// request is answered with kInternal. With a `loop`, responses from other threads are passed on to
/// its thread.
std::shared_ptr<http_exchange> MakeExchange(std::shared_ptr<server_request> request,
                                            event_loop* loop);

}  // namespace teaseljunction
