#pragma once

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "common/result.h"
#include "gateway/call_context.h"
#include "http/types.h"
#include "manifest/manifest_index.h"

namespace teaseljunction {

/// Header with the token of the running call. A target sends it with its child calls.
inline constexpr absl::string_view kContextHeader = "Teaseljunction-Context";
/// Header with the id of the entry request.
inline constexpr absl::string_view kRequestIdHeader = "Teaseljunction-Request-Id";
/// Header with the time left until the deadline, in milliseconds. Callers may send it to shorten
/// the timeout of the route.
inline constexpr absl::string_view kDeadlineHeader = "Teaseljunction-Deadline-Ms";
/// Header that tells a target the client account.
inline constexpr absl::string_view kClientAccountHeader = "Teaseljunction-Client-Account";
/// Header of a target's 503 response that says that it did not run the request.
inline constexpr absl::string_view kShedHeader = "Teaseljunction-Shed";
/// Header with the identity of a non-idempotent request.
inline constexpr absl::string_view kIdempotencyKeyHeader = "Idempotency-Key";

/// A request with all that its route, key and context determine.
struct resolved_call {
  call request;
  absl::Time deadline;
  /// True when the request counts against its client account's rate. Child calls are part of the
  /// entry request and do not count again.
  bool needs_share = false;
  /// True when the request may run only once.
  bool needs_claim = false;
  /// The call that made this one, null for entry requests.
  std::shared_ptr<running_call> parent;
  /// Part of the parent's attempt budget, to be returned at the end. 0 for entry requests.
  uint32_t parent_part = 0;
};

/// Finds the route and the client account of a request and removes what a target must not see.
/// `request_id` is used for entry requests; child calls keep that of their parent. The attempt
/// budget of `request` is that of the route; for child calls the caller of this function replaces
/// it. Errors: kMalformedRequest, kKeyMissing, kKeyUnknown, kContextUnknown, kRouteUnknown,
/// kMethodNotAllowed, kIdentityMissing, kDeadlineTooShort.
result<resolved_call> ResolveCall(const manifest_index& manifest,
                                  const call_context_table& contexts, const http_request& received,
                                  absl::string_view request_id, absl::Time now);

}  // namespace teaseljunction
