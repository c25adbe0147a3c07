#pragma once

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "common/result.h"
#include "gateway/call_context.h"
#include "gateway/call_headers.h"
#include "http/types.h"
#include "manifest/manifest_index.h"

namespace teaseljunction {

/// Header with the identity of a non-idempotent request.
inline constexpr absl::string_view kIdempotencyKeyHeader = "Idempotency-Key";

/// A request with all that its route, key and context determine.
struct resolved_call {
  call request;
  absl::Time deadline;
  /// True when the request counts against its client account's rate. Child calls are part of the
  /// entry request and do not count again.
  bool needs_share = false;
  /// True when the request is registered with the control group before it is dispatched.
  bool needs_claim = false;
  /// Targets that the request may be sent to.
  uint32_t max_targets = 1;
  /// The call that made this one, null for entry requests.
  std::shared_ptr<running_call> parent;
  /// Part of the parent's attempt budget, to be returned at the end. 0 for entry requests.
  uint32_t parent_part = 0;
};

/// What the resolution of a request depends on.
struct resolver_settings {
  call_headers headers;
  /// Service of the target beside this daemon, told to the targets of its calls.
  std::string caller_service;
};

/// Finds the route and the client account of a request and removes what a target must not see.
/// `request_id` is used for entry requests; child calls keep that of their parent. The attempt
/// budget of `request` is that of the route; for child calls the caller of this function replaces
/// it. Errors: kMalformedRequest, kKeyMissing, kKeyUnknown, kContextUnknown, kRouteUnknown,
/// kMethodNotAllowed, kIdentityMissing, kDeadlineTooShort.
result<resolved_call> ResolveCall(const manifest_index& manifest,
                                  const call_context_table& contexts,
                                  const resolver_settings& settings, const http_request& received,
                                  absl::string_view request_id, absl::Time now);

/// Returns the service of a request on a route: that of one of its parts, which `request_id`
/// selects in proportion to the weights, or the only one.
absl::string_view SelectService(const route& matched, absl::string_view request_id);

}  // namespace teaseljunction
