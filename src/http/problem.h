#pragma once

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/error_kind.h"
#include "http/types.h"

namespace teaseljunction {

/// Returns the error response for `failure`: a problem document (RFC 9457) with the members type,
/// title, status, detail and requestId, the header Teaseljunction-Outcome, and Retry-After for
/// kinds that carry it: in whole seconds, rounded up, or with milliseconds when `fractional` is
/// true. Without `retry_after` these kinds say one second.
http_response ProblemResponse(const error& failure, absl::string_view request_id,
                              absl::optional<absl::Duration> retry_after = absl::nullopt,
                              bool fractional = false);

}  // namespace teaseljunction
