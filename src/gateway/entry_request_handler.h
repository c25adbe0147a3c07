#pragma once

#include <memory>
#include <string>

#include "gateway/active_manifest.h"
#include "gateway/call_context.h"
#include "gateway/entry_call.h"
#include "gateway/target_announcement_handler.h"
#include "http/http_handler.h"

namespace teaseljunction {

/// Handles HTTP requests of callers and of the local target: resolves each request and starts its
/// call. Thread-safe.
class entry_request_handler : public http_handler {
 public:
  /// `host_ip` is the IP address of this host. Target announcements are accepted only from this
  /// address and from loopback addresses.
  entry_request_handler(const entry_call_dependencies& dependencies, const active_manifest& config,
                        call_context_table& contexts, target_announcement_handler& target,
                        std::string host_ip);

  void Handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

 private:
  void HandleCall(const http_request& request, std::shared_ptr<http_exchange> exchange);
  std::string RequestIdFor(const http_request& request);
  uint64_t ManifestVersion() const;
  result<resolved_call> Resolve(const http_request& request, const std::string& request_id);

  const entry_call_dependencies& deps_;
  const active_manifest& config_;
  call_context_table& contexts_;
  target_announcement_handler& target_;
  const std::string host_ip_;
};

}  // namespace teaseljunction
