#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "http/http_client.h"

namespace teaseljunction {

/// Records requests sent to the target and lets the test complete them.
class fake_http_client : public http_client {
 public:
  uint64_t Send(absl::string_view, http_request request, bool at_most_once, absl::Duration timeout,
                absl::AnyInvocable<void(outcome<http_response>)> completion) override {
    last_at_most_once = at_most_once;
    last_timeout = timeout;
    last_path = request.path;
    last_request = std::move(request);
    const uint64_t id = ++last_id;
    open[id] = std::move(completion);
    if (after_send) std::exchange(after_send, nullptr)();
    return id;
  }
  void Cancel(uint64_t id) override { End(id, error{error_kind::kCancelled, ""}); }

  void End(uint64_t id, outcome<http_response> response) {
    auto ended = open.extract(id);
    ended.mapped()(std::move(response));
  }

  std::map<uint64_t, absl::AnyInvocable<void(outcome<http_response>)>> open;
  uint64_t last_id = 0;
  bool last_at_most_once = false;
  absl::Duration last_timeout;
  std::string last_path;
  http_request last_request;
  /// Runs once, before `Send` returns.
  std::function<void()> after_send;
};

}  // namespace teaseljunction
