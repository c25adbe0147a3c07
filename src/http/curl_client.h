#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "absl/time/time.h"
#include "http/http_client.h"

namespace teaseljunction {

/// Settings of a `curl_client`.
struct curl_client_settings {
  unsigned threads = 2;
  size_t max_response_bytes = size_t{1} << 20;
  /// Bound of the connections of one thread to one address. Further requests wait.
  unsigned max_connections_per_host = 256;
  absl::Duration connect_timeout = absl::Milliseconds(500);
};

class curl_worker;

/// HTTP/1.1 client on libcurl's multi interface. Each thread runs one multi handle with its own
/// kept connections. No request is sent twice: libcurl's own resending is stopped and reported as
/// kTargetFailed. Responses whose end cannot be checked, with neither Content-Length nor chunked
/// transfer, are kTargetFailed too.
class curl_client : public http_client {
 public:
  /// Ends running requests with kCancelled.
  ~curl_client() override;

  uint64_t Send(absl::string_view address, http_request request, bool at_most_once,
                absl::Duration timeout,
                absl::AnyInvocable<void(outcome<http_response>)> completion) override;
  void Cancel(uint64_t id) override;

 private:
  friend class curl_client_builder;
  explicit curl_client(const curl_client_settings& settings);

  std::vector<std::unique_ptr<curl_worker>> workers_;
  std::atomic<uint64_t> next_id_ = 0;
};

/// Builds a `curl_client`.
class curl_client_builder {
 public:
  curl_client_builder& Threads(unsigned threads);
  curl_client_builder& MaxResponseBytes(size_t bytes);
  curl_client_builder& MaxConnectionsPerHost(unsigned connections);
  curl_client_builder& ConnectTimeout(absl::Duration timeout);

  std::unique_ptr<curl_client> Build() const;

 private:
  curl_client_settings settings_;
};

}  // namespace teaseljunction
