#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cli/exit_code.h"
#include "cli/http_transport.h"
#include "http/types.h"

namespace teaseljunction {

/// Whether a request may be sent again after an attempt with an unknown outcome.
enum class retry_safety {
  /// Has no effect on the server.
  kReadOnly,
  /// The server recognises a repeated attempt, so the request can be sent again safely.
  kIdempotent,
  /// Must not be sent again.
  kNonIdempotent,
};

/// Result of a request to the operators' port.
struct operators_result {
  exit_code code = exit_code::kUnreachable;
  /// The body of a successful response.
  std::string body;
  /// Error messages of the failed attempts, one line each.
  std::string message;
};

/// Client for the operators' ports of several daemons, which are tried in turn. Calls block.
class operators_client {
 public:
  /// `transport` must outlive the client. `round_pause` is the time between two rounds over
  /// all servers.
  operators_client(http_transport& transport, std::vector<std::string> servers,
                   absl::Duration timeout, absl::Duration round_pause);

  /// Sends a request until one server has carried it out or refused it for a reason that holds at
  /// every server. A non-idempotent request is not sent again after an attempt with an
  /// unknown outcome.
  operators_result Send(const std::string& method, const std::string& path, const std::string& body,
                        retry_safety safety);

 private:
  // Accumulated outcome of the attempts made so far.
  struct attempt_summary {
    bool may_have_run = false;
    bool refused = false;
    std::string message;
  };

  // Sends one attempt. Returns true when `final_result` is set and no further attempt is needed.
  bool TryServer(const std::string& server, const http_request& request, retry_safety safety,
                 attempt_summary& summary, operators_result& final_result);
  static bool EvaluateResponse(const http_response& response, const std::string& server,
                               retry_safety safety, attempt_summary& summary,
                               operators_result& final_result);

  http_transport& transport_;
  const std::vector<std::string> servers_;
  const absl::Duration timeout_;
  const absl::Duration round_pause_;
};

/// Returns the title and detail of a problem document, or "status N" when the body is none.
std::string DescribeProblem(const http_response& response);

}  // namespace teaseljunction
