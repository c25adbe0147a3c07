#pragma once

#include <memory>
#include <string>

#include "gateway/call_context.h"
#include "gateway/configuration.h"
#include "gateway/entry_call.h"
#include "gateway/target_endpoint.h"
#include "http/http_handler.h"

namespace teaseljunction {

/// Handles HTTP requests of callers and of the local target: resolves each request and starts its
/// call. Thread-safe.
class entry_service : public http_handler {
 public:
  /// `host_ip` is the IP address of this host. Target announcements are accepted only from this
  /// address and from loopback addresses.
  entry_service(const entry_ports& ports, const configuration& config, call_context_table& contexts,
                target_endpoint& target, std::string host_ip);

  void Handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

 private:
  void HandleCall(const http_request& request, std::shared_ptr<http_exchange> exchange);
  std::string RequestIdFor(const http_request& request);
  uint64_t ManifestVersion() const;
  result<resolved_call> Resolve(const http_request& request, const std::string& request_id);

  const entry_ports& ports_;
  const configuration& config_;
  call_context_table& contexts_;
  target_endpoint& target_;
  const std::string host_ip_;
};

}  // namespace teaseljunction
