#pragma once

#include <string>
#include <vector>

#include "standin/types.h"

namespace teaseljunction {

/// Returns where the request carries a caller's key: the lower-case names of headers, "query" for
/// the path with query, and "body". Keys are recognised by common header names and by the prefix of
/// generated keys.
std::vector<std::string> FindKeyLocations(const standin_request& request);

}  // namespace teaseljunction
