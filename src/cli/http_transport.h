#pragma once

#include <string>

#include "absl/time/time.h"
#include "http/types.h"

namespace teaseljunction {

/// Whether a request was delivered: answered, certainly not sent, or possibly delivered without a
/// complete response.
enum class delivery_status { kAnswered, kNotSent, kUnknown };

/// Result of one request.
struct transport_result {
  delivery_status delivery = delivery_status::kNotSent;
  /// Set when `delivery` is kAnswered.
  http_response response;
  /// Describes the error when `delivery` is not kAnswered.
  std::string error_message;
};

/// Interface for sending HTTP requests. Send() blocks until the request has ended and sends it at
/// most once.
class http_transport {
 public:
  virtual ~http_transport() = default;

  /// Sends a request to `address` ("IP:port"). `timeout` covers the whole request, including the
  /// connection setup.
  virtual transport_result Send(const std::string& address, const http_request& request,
                                absl::Duration timeout) = 0;
};

/// Sends requests with libcurl, each on a new connection. The response body is limited to
/// 16 MiB.
class curl_transport : public http_transport {
 public:
  transport_result Send(const std::string& address, const http_request& request,
                        absl::Duration timeout) override;
};

}  // namespace teaseljunction
