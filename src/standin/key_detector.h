#pragma once

#include <string>
#include <vector>

#include "standin/types.h"

namespace teaseljunction {

/// Returns the lower-case names of the headers in which the request carries a caller's key, and
/// "query" or "body" when a key is in the path or the body. A key is recognised by the usual header
/// names and by the prefix of generated keys.
std::vector<std::string> FindKeyLikeHeaders(const standin_request& request);

}  // namespace teaseljunction
