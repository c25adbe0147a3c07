#pragma once

#include <string>
#include <vector>

#include "cli/http_transport.h"

namespace teaseljunction {

/// Answers requests from a list. After its end, servers cannot be reached.
class fake_transport : public http_transport {
 public:
  struct sent_request {
    std::string address;
    http_request request;
  };

  explicit fake_transport(std::vector<transport_answer> answers) : answers_(std::move(answers)) {}

  transport_answer Send(const std::string& address, const http_request& request,
                        absl::Duration) override {
    sent.push_back({address, request});
    if (sent.size() > answers_.size()) return {};
    return answers_[sent.size() - 1];
  }

  std::vector<sent_request> sent;

 private:
  const std::vector<transport_answer> answers_;
};

/// A response of a daemon. `outcome` empty leaves out the header.
inline transport_answer Answered(int status, const std::string& outcome = "",
                                 const std::string& body = "{}") {
  transport_answer answer;
  answer.state = delivery::kAnswered;
  answer.response.status = status;
  answer.response.body = body;
  if (!outcome.empty()) answer.response.headers.push_back({"Teaseljunction-Outcome", outcome});
  return answer;
}

inline transport_answer NotSent() { return {}; }

inline transport_answer Lost() {
  transport_answer answer;
  answer.state = delivery::kUnknown;
  answer.fault = "lost";
  return answer;
}

}  // namespace teaseljunction
