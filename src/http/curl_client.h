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
  /// Number of worker threads; not used if `loop` is set.
  unsigned threads = 2;
  /// If set, requests are sent on this loop instead of separate threads.
  event_loop* loop = nullptr;
  /// Maximum size of a response body.
  size_t max_response_bytes = size_t{1} << 20;
  /// Maximum connections of one thread, or of the loop, to one address. Further requests wait. Must
  /// not be below the number of calls that admission starts, which counts those that wait here as
  /// running.
  unsigned max_connections_per_host = 2048;
  /// Limit of the memory for all responses that are being received. Above it, the requests with the
  /// largest responses fail.
  size_t max_buffered_bytes = size_t{32} << 20;
  absl::Duration connect_timeout = absl::Milliseconds(500);
  /// Connections that were idle for longer are not reused, because servers often close them just as
  /// the next request is sent.
  absl::Duration max_idle_time = absl::Seconds(20);
  /// Connections that were idle for longer than this time, rounded down to whole seconds, are not
  /// reused for requests that are sent at most once. With zero, each of these requests is sent on a
  /// new connection.
  absl::Duration max_idle_time_at_most_once;
};

class curl_worker;

/// HTTP/1.1 client based on libcurl's multi interface. Each thread, or the loop, runs one multi
/// handle with its own connection pool. No request is sent twice: automatic retries of libcurl are
/// aborted and reported as kTargetFailed. A response whose end cannot be verified, with neither
/// Content-Length nor chunked encoding, is kTargetFailed too, unless the request allows it.
/// The connection of a response that lacks the expected echo is closed, and so is a kept connection
/// with unread input; the request is then sent on a new one.
/// Responses are limited in size each, and in memory all together.
class curl_client : public http_client {
 public:
  /// Completes all running requests with kCancelled.
  ~curl_client() override;

  uint64_t Send(absl::string_view address, http_request request, bool at_most_once,
                absl::Duration timeout,
                absl::AnyInvocable<void(outcome<http_response>)> completion) override;
  void Cancel(uint64_t id) override;

  /// Returns the memory that the responses of running requests take, in bytes.
  size_t BufferedBytes() const;

 private:
  friend class curl_client_builder;
  explicit curl_client(curl_client_settings settings);

  std::vector<std::unique_ptr<curl_worker>> workers_;
  std::atomic<uint64_t> next_id_ = 0;
};

/// Builds a `curl_client`.
class curl_client_builder {
 public:
  curl_client_builder& Threads(unsigned threads);
  /// Sends requests on the thread of `loop`, which must outlive the client, instead of separate
  /// threads.
  curl_client_builder& Loop(event_loop* loop);
  curl_client_builder& MaxResponseBytes(size_t bytes);
  curl_client_builder& MaxConnectionsPerHost(unsigned connections);
  curl_client_builder& MaxBufferedBytes(size_t bytes);
  curl_client_builder& ConnectTimeout(absl::Duration timeout);
  /// `at_most_once` applies to requests that are sent at most once.
  curl_client_builder& MaxIdle(absl::Duration max_idle_time, absl::Duration at_most_once);

  std::unique_ptr<curl_client> Build() const;

 private:
  curl_client_settings settings_;
};

}  // namespace teaseljunction
