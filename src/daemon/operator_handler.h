#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/functional/any_invocable.h"
#include "common/clock_source.h"
#include "gateway/call_metrics.h"
#include "gateway/control_client.h"
#include "http/http_handler.h"
#include "rpc/node_service.h"

namespace teaseljunction {

/// HTTP handler of the operators' interface: manifest, control members, status, metrics and planned
/// shutdown. Thread-safe.
class operator_handler : public http_handler {
 public:
  /// `begin_drain` starts the planned shutdown and returns immediately. All references must outlive
  /// the handler.
  operator_handler(const clock_source& clock, node_service& node, control_client& control,
                   const call_metrics& metrics, absl::AnyInvocable<void()> begin_drain);

  void Handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

 private:
  using exchange_pointer = std::shared_ptr<http_exchange>;
  using handler_method = void (operator_handler::*)(const http_request&, exchange_pointer);

  struct endpoint {
    absl::string_view method;
    absl::string_view path;
    handler_method handle;
  };

  static const endpoint kEndpoints[];

  void GetManifest(const http_request& request, exchange_pointer exchange);
  void PostManifest(const http_request& request, exchange_pointer exchange);
  void GetStatus(const http_request& request, exchange_pointer exchange);
  void PostMembers(const http_request& request, exchange_pointer exchange);
  void PostDrain(const http_request& request, exchange_pointer exchange);
  void GetMetrics(const http_request& request, exchange_pointer exchange);
  // Proposes a command and responds with its result; `describe` returns the JSON body on success.
  void Propose(command proposal, exchange_pointer exchange,
               absl::AnyInvocable<std::string(const command_result&)> describe);

  const clock_source& clock_;
  node_service& node_;
  control_client& control_;
  const call_metrics& metrics_;
  absl::AnyInvocable<void()> begin_drain_;
};

}  // namespace teaseljunction
