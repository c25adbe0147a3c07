#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/result.h"
#include "http/http_handler.h"

namespace teaseljunction {

class event_loop;

/// Settings of an `http_server`.
struct http_server_settings {
  /// "IP:port"; port 0 takes a free one.
  std::string address;
  unsigned threads = 4;
  /// Serves on this loop instead of own threads, when set.
  event_loop* loop = nullptr;
  size_t max_body_bytes = size_t{1} << 20;
  /// Bound of the request line and the headers together.
  size_t max_header_bytes = size_t{16} << 10;
  unsigned max_connections = 4096;
  /// Time after which a connection without traffic is closed. Running requests do not count.
  absl::Duration idle_timeout = absl::Seconds(60);
  /// Time for which a planned stop keeps connections without a request open, so that a request that
  /// is already on its way is answered.
  absl::Duration drain_linger = absl::Seconds(2);
};

/// HTTP/1.1 server on libmicrohttpd. A connection is suspended while its request is handled and
/// holds no thread. Requests that are too large, malformed or cut off are answered or closed here
/// and never reach the handler.
class http_server {
 public:
  /// Stops like `Stop`.
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Starts to accept connections and returns the bound port.
  /// Errors: kSettingInvalid when the address cannot be parsed or bound, kInternal.
  result<uint16_t> Start();

  /// Planned stop: accepts no new connection, answers every request that runs or arrives on an open
  /// connection and then closes the connection. Returns true when no connection was left, false
  /// when requests were still open after `timeout`. The server is stopped in both cases.
  bool Drain(absl::Duration timeout);

  /// Stops at once. Requests whose handler has not responded are answered with kOutcomeUnknown, and
  /// later responses are ignored. Not to be called from a handler.
  void Stop();

 private:
  friend class http_server_builder;
  class impl;
  explicit http_server(std::unique_ptr<impl> state);

  std::unique_ptr<impl> impl_;
};

/// Builds an `http_server`.
class http_server_builder {
 public:
  http_server_builder& Address(absl::string_view address);
  http_server_builder& Threads(unsigned threads);
  /// Serves on the thread of `loop`, which must outlive the server, instead of own threads.
  http_server_builder& Loop(event_loop* loop);
  http_server_builder& MaxBodyBytes(size_t bytes);
  http_server_builder& MaxHeaderBytes(size_t bytes);
  http_server_builder& MaxConnections(unsigned connections);
  http_server_builder& IdleTimeout(absl::Duration timeout);
  http_server_builder& DrainLinger(absl::Duration linger);
  /// The handler must outlive the server.
  http_server_builder& Handler(http_handler* handler);

  std::unique_ptr<http_server> Build() const;

 private:
  http_server_settings settings_;
  http_handler* handler_ = nullptr;
};

}  // namespace teaseljunction
