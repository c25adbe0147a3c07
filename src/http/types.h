#pragma once

#include <string>
#include <vector>

#include "common/types.h"

namespace teaseljunction {

/// What the answer to a request must have to count as its answer.
struct expected_answer {
  /// Header that the server repeats; no check when its name is empty.
  http_header echoed;
  /// Name of a header that successful answers have; no check when it is empty.
  std::string present;
  /// True when an answer without a length may end with its connection.
  bool may_end_with_connection = false;
};

/// A whole HTTP request, received or to be sent.
struct http_request {
  std::string method;
  /// Path with query.
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  /// IP address of the client of a received request; empty in requests to be sent.
  std::string remote_ip;
  /// Checks of the answer to a request to be sent.
  expected_answer expected;
};

/// A whole HTTP response, to be sent or received.
struct http_response {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
};

}  // namespace teaseljunction
