#pragma once

#include "absl/strings/string_view.h"
#include "gateway/target_executor.h"
#include "http/types.h"

namespace teaseljunction {

/// Path to which a target sends its announcements at the daemon beside it.
inline constexpr absl::string_view kTargetAnnouncementPath = "/teaseljunction/v1/target";

/// Handles announcements of the local target: POST requests with a JSON object with the members
/// service, incarnation, slots, address and, optionally, draining and load.
class target_announcement_handler {
 public:
  explicit target_announcement_handler(target_executor& executor) : executor_(executor) {}

  /// Returns 204, or a problem document with kMethodNotAllowed, kMalformedRequest or
  /// kTargetOutdated.
  http_response Handle(const http_request& request);

 private:
  target_executor& executor_;
};

}  // namespace teaseljunction
