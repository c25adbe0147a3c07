#pragma once

#include <string>

#include "absl/time/time.h"
#include "http/types.h"

namespace teaseljunction {

/// How far a request came.
enum class delivery { kAnswered, kNotSent, kUnknown };

/// The end of one request.
struct transport_answer {
  delivery state = delivery::kNotSent;
  /// Set when `state` is kAnswered.
  http_response response;
  /// Says what went wrong otherwise.
  std::string fault;
};

/// Port to HTTP servers. A request waits for its end and is sent at most once.
class http_transport {
 public:
  virtual ~http_transport() = default;

  /// Sends a request to `address` ("IP:port").
  virtual transport_answer Send(const std::string& address, const http_request& request,
                                absl::Duration timeout) = 0;
};

/// Sends requests with libcurl, each on a new connection.
class curl_transport : public http_transport {
 public:
  transport_answer Send(const std::string& address, const http_request& request,
                        absl::Duration timeout) override;
};

}  // namespace teaseljunction
