#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "absl/time/time.h"
#include "http/http_client.h"

namespace teaseljunction {

class event_loop;

/// Settings of a `curl_client`.
struct curl_client_settings {
  unsigned threads = 2;
  /// Sends on this loop instead of own threads, when set.
  event_loop* loop = nullptr;
  size_t max_response_bytes = size_t{1} << 20;
  /// Bound of the connections of one thread to one address. Further requests wait.
  unsigned max_connections_per_host = 256;
  absl::Duration connect_timeout = absl::Milliseconds(500);
  /// Kept connections that were idle for longer are not used again, because servers often close
  /// them just when the next request is sent.
  absl::Duration max_idle = absl::Seconds(20);
  /// The same for requests that are sent at most once, in whole seconds. Zero sends each of them on
  /// a new connection.
  absl::Duration max_idle_at_most_once;
};

class curl_worker;

/// HTTP/1.1 client on libcurl's multi interface. Each thread, or the loop, runs one multi handle
/// with its own kept connections. No request is sent twice: libcurl's own resending is stopped and
/// reported as kTargetFailed. Responses whose end cannot be checked, with neither Content-Length
/// nor chunked transfer, are kTargetFailed too.
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
  /// Sends on the thread of `loop`, which must outlive the client, instead of own threads.
  curl_client_builder& Loop(event_loop* loop);
  curl_client_builder& MaxResponseBytes(size_t bytes);
  curl_client_builder& MaxConnectionsPerHost(unsigned connections);
  curl_client_builder& ConnectTimeout(absl::Duration timeout);
  /// `at_most_once` holds for requests that are sent at most once.
  curl_client_builder& MaxIdle(absl::Duration max_idle, absl::Duration at_most_once);

  std::unique_ptr<curl_client> Build() const;

 private:
  curl_client_settings settings_;
};

}  // namespace teaseljunction
