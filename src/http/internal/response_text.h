#pragma once

#include <string>

#include "absl/time/time.h"
#include "http/types.h"

namespace teaseljunction {

/// Returns the status line and headers of a response, up to and including the empty line. With
/// `close`, the headers announce that the connection is closed.
std::string ResponseHead(const http_response& response, bool head_request, bool close,
                         absl::Time now);

/// Returns true if responses with this status have a body.
bool HasBody(int status);

}  // namespace teaseljunction
