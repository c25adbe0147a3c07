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

/// HTTP server of a stand-in target. A connection is suspended while its request is served, so that
/// waiting requests hold no thread.
class http_front {
 public:
  /// Serves requests below "/standin/". Must not block.
  using control_handler = std::function<standin_reply(const standin_request&)>;

  /// `runner` must outlive the front.
  http_front(service_runner& runner, control_handler control);
  /// All requests must have their reply before.
  ~http_front();
  http_front(const http_front&) = delete;
  http_front& operator=(const http_front&) = delete;

  /// Starts to listen on "IP:port". Port 0 chooses a free one. Returns the address in use.
  /// Errors: kSettingInvalid.
  result<std::string> Listen(const std::string& address);

  /// Waits until no request is in progress, including the sending of its response. Returns false
  /// after `timeout`.
  bool WaitUntilIdle(absl::Duration timeout);

 private:
  struct exchange;
  friend struct http_front_callbacks;

  int Handle(MHD_Connection* connection, const char* url, const char* method, const char* data,
             size_t* data_size, void** state);
  int Dispatch(MHD_Connection* connection, exchange& handled);

  service_runner& runner_;
  const control_handler control_;
  std::atomic<int64_t> open_exchanges_{0};
  MHD_Daemon* server_ = nullptr;
};

}  // namespace teaseljunction
