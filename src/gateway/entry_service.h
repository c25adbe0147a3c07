#pragma once

#include <memory>
#include <string>

#include "gateway/call_context.h"
#include "gateway/configuration.h"
#include "gateway/entry_call.h"
#include "gateway/target_endpoint.h"
#include "http/http_handler.h"

namespace teaseljunction {

/// Handles the requests of callers and of the local target: resolves each one and starts its call.
/// Thread-safe.
class entry_service : public http_handler {
 public:
  /// `own_ip` is the address of this host. Only processes on it may announce a target.
  entry_service(const entry_ports& ports, const configuration& config, call_context_table& contexts,
                target_endpoint& target, std::string own_ip);

  void Handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

 private:
  void HandleCall(const http_request& request, std::shared_ptr<http_exchange> exchange);
  std::string RequestId(const http_request& request);
  uint64_t ManifestVersion() const;
  result<resolved_call> Resolve(const http_request& request, const std::string& request_id);

  const entry_ports& ports_;
  const configuration& config_;
  call_context_table& contexts_;
  target_endpoint& target_;
  const std::string own_ip_;
};

}  // namespace teaseljunction
