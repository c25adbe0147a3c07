#pragma once

#include "absl/strings/string_view.h"
#include "http/types.h"

namespace teaseljunction {

/// Returns the path of a request without its query. The result refers to `request`.
inline absl::string_view PathOf(const http_request& request) {
  const absl::string_view path = request.path;
  return path.substr(0, path.find('?'));
}

}  // namespace teaseljunction
