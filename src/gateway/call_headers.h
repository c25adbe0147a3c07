#pragma once

#include <string>

namespace teaseljunction {

/// Names of the headers by which the system talks to callers and targets. An empty name stands for
/// a header that is not used. Callers cannot set any of them but the request id and the deadline.
struct call_headers {
  /// Id of the entry request.
  std::string request_id = "Teaseljunction-Request-Id";
  /// Time left until the deadline, in milliseconds. Callers may send it to shorten the timeout of
  /// the route.
  std::string deadline = "Teaseljunction-Deadline-Ms";
  /// Tells a target the client account.
  std::string client_account = "Teaseljunction-Client-Account";
  /// Token of the running call. A target sends it with its child calls.
  std::string context = "Teaseljunction-Context";
  /// Header of a target's response that says that it did not run the request.
  std::string not_run = "Teaseljunction-Shed";
  /// Tells a target the service from whose host the request came.
  std::string caller_service;
  /// Id of the process that the request is meant for; other processes refuse it.
  std::string target_id;
  /// Header of a target's answer to a health probe with the id of its process.
  std::string told_target_id;
  /// Header of a target's answer with its running calls, waiting calls and slots, separated by
  /// commas.
  std::string told_load;
  /// Header that each answer of a target has; a success without it is not the target's.
  std::string answer_mark;
  /// True when targets see the host that the caller named.
  bool forward_host = false;
  /// True when callers choose the request id and targets repeat it in their answers.
  bool caller_request_id = false;
  /// True when an answer without a length may end with its connection.
  bool answer_may_end_with_connection = false;
  /// True when Retry-After may have a fraction of a second.
  bool fractional_retry_after = false;
};

}  // namespace teaseljunction
