#pragma once

#include <string>
#include <vector>

#include "cli/http_transport.h"

namespace teaseljunction {

/// Returns the given results in order. Further requests fail as not sent.
class fake_transport : public http_transport {
 public:
  struct sent_request {
    std::string address;
    http_request request;
  };

  explicit fake_transport(std::vector<transport_result> results) : results_(std::move(results)) {}

  transport_result Send(const std::string& address, const http_request& request,
                        absl::Duration) override {
    sent.push_back({address, request});
    if (sent.size() > results_.size()) return {};
    return results_[sent.size() - 1];
  }

  std::vector<sent_request> sent;

 private:
  const std::vector<transport_result> results_;
};

/// A response from a daemon. An empty `outcome` omits the outcome header.
inline transport_result Answered(int status, const std::string& outcome = "",
                                 const std::string& body = "{}") {
  transport_result transfer_result;
  transfer_result.delivery = delivery_status::kAnswered;
  transfer_result.response.status = status;
  transfer_result.response.body = body;
  if (!outcome.empty()) {
    transfer_result.response.headers.push_back({"Teaseljunction-Outcome", outcome});
  }
  return transfer_result;
}

inline transport_result NotSent() { return {}; }

inline transport_result UnknownDelivery() {
  transport_result transfer_result;
  transfer_result.delivery = delivery_status::kUnknown;
  transfer_result.error_message = "lost";
  return transfer_result;
}

}  // namespace teaseljunction
