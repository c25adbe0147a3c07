#pragma once

#include <string>

namespace teaseljunction {

/// Names of the headers exchanged with callers and targets. An empty name means that the header is
/// not used. Callers can set only the request id and the deadline.
struct call_header_names {
  /// Id of the entry request.
  std::string request_id = "Teaseljunction-Request-Id";
  /// Time left until the deadline, in milliseconds. Callers may send it to shorten the timeout of
  /// the route.
  std::string deadline = "Teaseljunction-Deadline-Ms";
  /// Passes the name of the client account to the target.
  std::string client_account = "Teaseljunction-Client-Account";
  /// Token of the running call. A target repeats it in its child calls and in its response, which
  /// it identifies unless `caller_request_id` is set.
  std::string context = "Teaseljunction-Context";
  /// Response header by which a target reports that it did not run the request.
  std::string not_run = "Teaseljunction-Shed";
  /// Passes the name of the calling service, the one served on the host from which the request
  /// came, to the target.
  std::string caller_service;
  /// Id of the process that the request is meant for; other processes refuse it.
  std::string target_id;
  /// Header of a health probe response that contains the id of the target's process.
  std::string reported_target_id;
  /// Response header that contains the target's running calls, waiting calls, slots and, from some
  /// targets, pace, separated by commas (see `ParseLoadHeader`).
  std::string reported_load;
  /// Header that every response of a target contains. A successful response without it did not come
  /// from the target.
  std::string required_response_header;
  /// True when the Host header of the caller is forwarded to targets.
  bool forward_host = false;
  /// True when callers choose the request id and targets repeat it in their responses.
  bool caller_request_id = false;
  /// True when the end of the connection may delimit a response that has no length (RFC 9112,
  /// section 6.3).
  bool allow_close_delimited_response = false;
  /// True when Retry-After may contain a fraction of a second.
  bool fractional_retry_after = false;
};

}  // namespace teaseljunction
