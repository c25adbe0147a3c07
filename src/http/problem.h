#pragma once

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/error_kind.h"
#include "http/types.h"

namespace teaseljunction {

/// Returns the error response for `failure`: a problem document (RFC 9457) with the members type,
/// title, status, detail and requestId, and the header Teaseljunction-Outcome. Error kinds with
/// `error_answer::retry_after` also get a Retry-After header in whole seconds, rounded up, or in
/// seconds with three decimals if `fractional` is true. Its default is one second.
http_response ProblemResponse(const error& failure, absl::string_view request_id,
                              absl::optional<absl::Duration> retry_after = absl::nullopt,
                              bool fractional = false);

}  // namespace teaseljunction
