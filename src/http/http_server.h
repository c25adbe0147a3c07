#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/result.h"
#include "http/http_handler.h"
#include "http/request_memory.h"

namespace teaseljunction {

class event_loop;

/// Settings of an `http_server`.
struct http_server_settings {
  /// "IP:port"; with port 0 the system chooses a free port.
  std::string address;
  /// Number of server threads; not used if `loop` is set.
  unsigned threads = 4;
  /// If set, requests are served on this loop instead of separate threads.
  event_loop* loop = nullptr;
  size_t max_body_bytes = size_t{1} << 20;
  /// Maximum size of the method, the request target and the headers together.
  size_t max_header_bytes = size_t{16} << 10;
  unsigned max_connections = 4096;
  /// Bounds on the requests that are handled before earlier ones of their connection have been
  /// answered, and on the bytes of answers that wait for their turn: for each connection and for
  /// the whole server. Beyond them, requests wait for their turn.
  int64_t max_overlapping_requests_per_connection = 16;
  int64_t max_overlapping_bytes_per_connection = int64_t{1} << 20;
  int64_t max_overlapping_requests = 2048;
  int64_t max_overlapping_bytes = int64_t{16} << 20;
  /// Time after which a connection without traffic is closed. Connections with a running request
  /// are not idle.
  absl::Duration idle_timeout = absl::Seconds(60);
  /// Time without input after which the connection of a body that has arrived in part is closed.
  /// Below the time after which callers give up idle connections, 15 s. A client that goes on
  /// sending, however slowly, is not affected.
  absl::Duration body_timeout = absl::Seconds(10);
  /// Account for the memory of bodies and responses; without one, the server has its own, without
  /// a limit.
  std::shared_ptr<request_memory> memory;
  /// Time for which `Drain` keeps connections without a request open, so that requests already in
  /// transit are answered.
  absl::Duration drain_linger = absl::Seconds(2);
};

/// HTTP/1.1 server on event loops, with Boost.Beast as parser. Requests that a client sends before
/// earlier ones are answered are handled at the same time if the handler allows it
/// (`http_handler::MayOverlap`), and answered in the order of their arrival. Requests that are too
/// large, malformed or truncated are refused, or their connection is closed; they never reach the
/// handler. A response that closes its connection is the last one: requests behind it have not been
/// handled.
class http_server {
 public:
  /// Calls `Stop`.
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Starts accepting connections and returns the bound port.
  /// Errors: kSettingInvalid if there is no handler or the address cannot be parsed or bound;
  /// kInternal.
  result<uint16_t> Start();

  /// Adds `Connection: close` to further responses, so that clients move to other servers. On a
  /// connection on which a client has sent further requests already, these are answered first.
  void DisableKeepAlive();

  /// Stops gracefully: accepts no new connections, answers every request that is running or arrives
  /// on an open connection, and then closes the connection. The linger takes at most half of
  /// `timeout`. The rest of a request that has been received in part is waited for until one second
  /// after the linger, within the same half; without it, the request never reaches the handler.
  /// Blocks for at most about `timeout`. Returns true if no received request was left, false if
  /// requests were still running after `timeout`. The server is stopped in both cases.
  bool Drain(absl::Duration timeout);

  /// Stops at once. Requests that the handler has not answered are answered with kOutcomeUnknown;
  /// later responses are ignored. Must not be called from a handler.
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
  /// Serves on the thread of `loop`, which must outlive the server, instead of separate threads.
  http_server_builder& Loop(event_loop* loop);
  http_server_builder& MaxBodyBytes(size_t bytes);
  http_server_builder& MaxHeaderBytes(size_t bytes);
  http_server_builder& MaxConnections(unsigned connections);
  /// See `http_server_settings`.
  http_server_builder& MaxOverlapPerConnection(int64_t requests, int64_t bytes);
  http_server_builder& MaxOverlap(int64_t requests, int64_t bytes);
  http_server_builder& IdleTimeout(absl::Duration timeout);
  http_server_builder& DrainLinger(absl::Duration linger);
  http_server_builder& BodyTimeout(absl::Duration timeout);
  /// Sets the account that the server shares with others of the process.
  http_server_builder& Memory(std::shared_ptr<request_memory> memory);
  /// The handler must outlive the server.
  http_server_builder& Handler(http_handler* handler);

  std::unique_ptr<http_server> Build() const;

 private:
  http_server_settings settings_;
  http_handler* handler_ = nullptr;
};

}  // namespace teaseljunction
