#pragma once

#include <string>
#include <vector>

#include "common/types.h"

namespace teaseljunction {

/// A whole HTTP request, received or to be sent.
struct http_request {
  std::string method;
  /// Path with query.
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  /// IP address of the client of a received request; empty in requests to be sent.
  std::string remote_ip;
};

/// A whole HTTP response, to be sent or received.
struct http_response {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
};

}  // namespace teaseljunction
