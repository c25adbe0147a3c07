#pragma once

#include <memory>

#include "common/result.h"
#include "daemon/leader_client.h"
#include "daemon/settings.h"
#include "daemon/sync_loop.h"
#include "event_loop/event_loop.h"
#include "gateway/active_manifest.h"
#include "gateway/call_resolver.h"
#include "gateway/control_client.h"
#include "gateway/target_executor.h"
#include "http/http_handler.h"
#include "manifest/manifest_codec.h"
#include "manifest/manifest_format.h"
#include "rpc/node_service.h"

namespace teaseljunction {

/// Components of a running daemon that additional listeners use. Valid as long as the daemon
/// exists.
struct daemon_components {
  const clock_source& clock;
  event_loop& loop;
  node_service& node;
  control_client& control;
  const active_manifest& config;
  target_executor& executor;
  sync_loop& sync;
  leader_locator& locator;
};

/// The daemon process. Owns all components, connects them, and starts and stops them.
class daemon_process {
 public:
  virtual ~daemon_process() = default;

  /// Starts the planned shutdown and returns immediately. Thread-safe; may be called repeatedly.
  virtual void RequestStop() = 0;

  /// Returns references to the daemon's components.
  virtual daemon_components Components() = 0;

  /// Adds a listener that serves `handler` at `address`, "IP:port". The handler must outlive the
  /// daemon. Errors: kSettingInvalid when the address cannot be bound.
  virtual result<void> AddListener(absl::string_view address, http_handler& handler) = 0;

  /// Starts to sync with the control group. Must be called once, after all listeners were added.
  virtual void Start() = 0;

  /// Serves until a stop is requested, then performs the planned shutdown: announces it, accepts
  /// calls for the drain delay, until callers and other daemons know of it, then refuses new calls
  /// and finishes the running ones. Returns false when calls were still running at the end of the
  /// drain timeout.
  virtual bool Run() = 0;
};

/// Builds the daemon and starts its servers.
class daemon_builder {
 public:
  /// Required.
  daemon_builder& WithSettings(daemon_settings settings);
  /// Optional. By default, calls are resolved from the Teaseljunction-... headers.
  daemon_builder& WithResolver(resolver_settings resolver);
  /// Optional. By default, manifests are decoded with `DecodeManifest`.
  daemon_builder& WithDecoder(manifest_decoder decode);

  /// Errors: kSettingInvalid when an address cannot be bound; kStorageFailed.
  result<std::unique_ptr<daemon_process>> Build();

 private:
  daemon_settings settings_;
  resolver_settings resolver_;
  manifest_decoder decode_ = &DecodeManifest;
};

}  // namespace teaseljunction
