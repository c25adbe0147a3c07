#pragma once

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "common/result.h"
#include "gateway/call_context.h"
#include "gateway/call_header_names.h"
#include "http/types.h"
#include "manifest/manifest_index.h"

namespace teaseljunction {

/// Header that contains the idempotency key of a non-idempotent request.
inline constexpr absl::string_view kIdempotencyKeyHeader = "Idempotency-Key";

/// A request together with everything determined by its route, API key and context.
struct resolved_call {
  call request;
  absl::Time deadline;
  /// True when the caller stated the time left.
  bool deadline_stated = false;
  /// True when the request consumes a token of its client account. Child calls belong to the entry
  /// request and consume none.
  bool needs_token = false;
  /// True when the request has to be registered with the control group before it is dispatched.
  bool needs_claim = false;
  /// Maximum number of targets that the request may be sent to.
  uint32_t max_targets = 1;
  /// The call that made this call; null for entry requests.
  std::shared_ptr<running_call> parent;
  /// Allocation in the parent's attempt budget to which unused attempts are returned. 0 for entry
  /// requests.
  uint32_t parent_allocation_id = 0;
};

/// Settings used to resolve requests.
struct resolver_settings {
  call_header_names headers;
  /// Service of the target beside this daemon, sent to the targets of its child calls.
  std::string caller_service;
};

/// Returns the route of a request, as `manifest_index::FindRoute` does.
route_match FindRequestedRoute(const manifest_index& manifest, const http_request& received);

/// Determines the route and the client account of a request and removes the headers that a target
/// must not see. `request_id` is used for entry requests; child calls keep the id of their parent.
/// The attempt budget of the result is that of the route; for child calls the caller of this
/// function has to replace it. Errors: kMalformedRequest, kKeyMissing, kKeyUnknown,
/// kContextUnknown, kRouteUnknown, kMethodNotAllowed, kIdentityMissing, kDeadlineTooShort.
result<resolved_call> ResolveCall(const manifest_index& manifest,
                                  const call_context_table& contexts,
                                  const resolver_settings& settings, http_request received,
                                  absl::string_view request_id, absl::Time now);

/// Returns the service that handles a request. When the route is split over several services,
/// `request_id` selects one of them in proportion to their weights, always the same for one id.
absl::string_view SelectService(const route& matched_route, absl::string_view request_id);

}  // namespace teaseljunction
