#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cli/exit_code.h"
#include "cli/http_transport.h"
#include "http/types.h"

namespace teaseljunction {

/// Whether a request may be sent again after an unknown outcome.
enum class repetition {
  /// Reads only.
  kRead,
  /// Sending it again does no harm: the second attempt is recognised.
  kSafe,
  /// Must not be sent again.
  kUnsafe,
};

/// The end of a request to the operators' port.
struct operators_answer {
  exit_code code = exit_code::kUnreachable;
  /// The body of a successful response.
  std::string body;
  /// Why the request did not succeed.
  std::string message;
};

/// Talks to the operators' ports of several daemons, which are tried in turn.
class operators_client {
 public:
  /// `transport` must outlive the client. `pause` is the time between two rounds of attempts.
  operators_client(http_transport& transport, std::vector<std::string> servers,
                   absl::Duration timeout, absl::Duration pause);

  /// Sends a request until one server has carried it out or refused it for a reason that holds at
  /// every server. An unknown outcome ends the attempts of a request that is unsafe to repeat.
  operators_answer Send(const std::string& method, const std::string& path, const std::string& body,
                        repetition allowed);

 private:
  // What the attempts so far have shown.
  struct progress {
    bool may_have_run = false;
    bool refused = false;
    std::string message;
  };

  // Returns true when the answer is final.
  bool TryServer(const std::string& server, const http_request& request, repetition allowed,
                 progress& so_far, operators_answer& answer);
  static bool JudgeResponse(const http_response& response, const std::string& server,
                            repetition allowed, progress& so_far, operators_answer& answer);

  http_transport& transport_;
  const std::vector<std::string> servers_;
  const absl::Duration timeout_;
  const absl::Duration pause_;
};

/// Returns the text of a problem document for operators, or a text made of the status.
std::string DescribeProblem(const http_response& response);

}  // namespace teaseljunction
