#pragma once

#include <functional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/result.h"
#include "common/types.h"

namespace teaseljunction {

/// Conditions that a response must meet to be accepted as the answer to its request.
struct expected_answer {
  /// Request header that the server must repeat in the response; not checked if its name is empty.
  http_header echoed;
  /// True if the first response of a new connection may lack the echoed header. Its connection is
  /// then closed. False if every response must have the header.
  bool echo_optional = false;
  /// Name of a header that 2xx responses must have; not checked if it is empty.
  std::string present;
  /// True if the end of a response without a length may be the end of its connection.
  bool may_end_with_connection = false;
};

/// A complete HTTP request, received or to be sent.
struct http_request {
  std::string method;
  /// Path and query.
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  /// IP address of the client; empty in requests to be sent.
  std::string remote_ip;
  /// Time at which the request had arrived completely; not used for requests to be sent.
  absl::Time received_at = absl::InfinitePast();
  /// Checks of the response; not used for received requests.
  expected_answer expected;
  /// True if the request is sent on a new connection that no other request uses; not used for
  /// received requests.
  bool own_connection = false;
  /// Called on a thread of the client when the connection is ready and nothing has been sent. An
  /// error ends the request with this error. Optional; not used for received requests.
  std::function<absl::optional<error>()> before_send;
};

/// A complete HTTP response, to be sent or received.
struct http_response {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
};

}  // namespace teaseljunction
