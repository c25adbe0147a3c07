#pragma once

#include <cstdint>
#include <string>

#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/result.h"
#include "http/types.h"

namespace teaseljunction {

/// Asynchronous HTTP client. Thread-safe. Methods return at once; each completion runs exactly
/// once, on a thread of the client.
class http_client {
 public:
  virtual ~http_client() = default;

  /// Sends a request to `address` ("IP:port"). With `at_most_once` the request is sent on a new
  /// connection, or on one that was in use shortly before, because the outcome is unknown if a
  /// reused connection closes before the first byte of the response. Returns an id for `Cancel`.
  /// Errors: kMalformedRequest; kTargetUnreachable if no byte was sent; kTargetFailed if the
  /// response is incomplete or not the expected one; kAnswerTooLarge; kDeadlineExceeded;
  /// kCancelled; the error of `http_request::before_send`.
  virtual uint64_t Send(absl::string_view address, http_request request, bool at_most_once,
                        absl::Duration timeout,
                        absl::AnyInvocable<void(outcome<http_response>)> completion) = 0;

  /// Closes the connection of a running request and completes it with kCancelled. Unknown ids are
  /// ignored.
  virtual void Cancel(uint64_t id) = 0;
};

}  // namespace teaseljunction
