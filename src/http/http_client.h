#pragma once

#include <cstdint>
#include <string>

#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/result.h"
#include "http/types.h"

namespace teaseljunction {

/// Port to HTTP servers. Thread-safe; methods return at once, completions run exactly once on a
/// client thread.
class http_client {
 public:
  virtual ~http_client() = default;

  /// Sends a request to `address` ("IP:port"). With `at_most_once` the request is sent on a new
  /// connection, or on one that was in use just before, because the result is unknown when a kept
  /// connection ends before the first byte of the response. Returns an id for `Cancel`.
  /// Errors: kTargetUnreachable when no byte was sent, kTargetFailed when the response is not
  /// whole or not the expected one, kAnswerTooLarge, kDeadlineExceeded, kCancelled.
  virtual uint64_t Send(absl::string_view address, http_request request, bool at_most_once,
                        absl::Duration timeout,
                        absl::AnyInvocable<void(outcome<http_response>)> completion) = 0;

  /// Closes the connection of a running request; its completion runs with kCancelled.
  virtual void Cancel(uint64_t id) = 0;
};

}  // namespace teaseljunction
