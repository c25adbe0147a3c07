#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include "absl/time/time.h"
#include "common/result.h"
#include "standin/service_runner.h"
#include "standin/types.h"

struct MHD_Connection;
struct MHD_Daemon;

namespace teaseljunction {

/// HTTP server of a stand-in target. A connection is suspended while its request is in progress, so
/// that no thread is blocked by it.
class standin_http_server {
 public:
  /// Handles requests to the paths below "/standin/" on a server thread. Must not block.
  using endpoint_handler = std::function<standin_reply(const standin_request&)>;

  /// `runner` must outlive the server.
  standin_http_server(service_runner& runner, endpoint_handler handler);
  /// All requests must have received their reply.
  ~standin_http_server();
  standin_http_server(const standin_http_server&) = delete;
  standin_http_server& operator=(const standin_http_server&) = delete;

  /// Starts listening on `address` ("IPv4:port"); port 0 chooses a free port. Returns the bound
  /// address.
  /// Errors: kSettingInvalid.
  result<std::string> Listen(const std::string& address);

  /// Blocks until no request is in progress and all responses have been sent. Returns false when
  /// `timeout` expires first.
  bool WaitUntilIdle(absl::Duration timeout);

 private:
  struct exchange;
  friend struct standin_http_callbacks;

  int HandleRequest(MHD_Connection* connection, const char* url, const char* method,
                    const char* data, size_t* data_size, void** state);
  int Dispatch(MHD_Connection* connection, exchange& current);

  service_runner& runner_;
  const endpoint_handler endpoint_handler_;
  std::atomic<int64_t> open_exchanges_{0};
  MHD_Daemon* server_ = nullptr;
};

}  // namespace teaseljunction
