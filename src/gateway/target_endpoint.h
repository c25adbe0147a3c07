#pragma once

#include "absl/strings/string_view.h"
#include "gateway/target_executor.h"
#include "http/types.h"

namespace teaseljunction {

/// Path at which a target announces itself to the daemon beside it.
inline constexpr absl::string_view kTargetPath = "/teaseljunction/v1/target";

/// Handles the announcements of the local target: POST with a JSON document with the members
/// service, incarnation, slots, draining, load and address. Answers 204, or a problem document.
class target_endpoint {
 public:
  explicit target_endpoint(target_executor& executor) : executor_(executor) {}

  http_response Handle(const http_request& request);

 private:
  target_executor& executor_;
};

}  // namespace teaseljunction
