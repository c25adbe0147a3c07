#pragma once

#include <memory>

#include "common/result.h"
#include "daemon/leader_client.h"
#include "daemon/settings.h"
#include "daemon/sync_loop.h"
#include "event_loop/event_loop.h"
#include "gateway/call_resolver.h"
#include "gateway/configuration.h"
#include "gateway/control_client.h"
#include "gateway/target_executor.h"
#include "http/http_handler.h"
#include "manifest/manifest_codec.h"
#include "manifest/manifest_format.h"
#include "rpc/node_service.h"

namespace teaseljunction {

/// Parts of a running daemon for further listeners. Valid as long as the daemon exists.
struct daemon_parts {
  const clock_source& clock;
  event_loop& loop;
  node_service& node;
  control_client& control;
  const configuration& config;
  target_executor& executor;
  sync_loop& sync;
  leader_locator& locator;
};

/// The daemon process: all parts, their wiring and their start and stop.
class daemon_process {
 public:
  virtual ~daemon_process() = default;

  /// Begins the planned shutdown. Returns at once; safe to call from any thread, more than once.
  virtual void RequestStop() = 0;

  virtual daemon_parts Parts() = 0;

  /// Serves `handler`, which must outlive the daemon, at another address. Errors: kSettingInvalid.
  virtual result<void> Listen(absl::string_view address, http_handler& handler) = 0;

  /// Begins to sync with the control group. To be called once, after all listeners were added.
  virtual void Start() = 0;

  /// Serves until a stop is requested, then performs the planned shutdown: announces that the
  /// daemon leaves, waits until other daemons have learned of it, finishes all calls, stops.
  /// Returns false when calls were still running at the end of the drain timeout.
  virtual bool Run() = 0;
};

/// Builds the daemon and starts its servers.
class daemon_builder {
 public:
  daemon_builder& WithSettings(daemon_settings settings);
  /// Optional; the default is the product's own headers.
  daemon_builder& WithResolver(resolver_settings resolver);
  /// Optional; the default is the product's own JSON format.
  daemon_builder& WithDecoder(manifest_decoder decode);

  /// Errors: kSettingInvalid when an address cannot be bound, kStorageFailed.
  result<std::unique_ptr<daemon_process>> Build();

 private:
  daemon_settings settings_;
  resolver_settings resolver_;
  manifest_decoder decode_ = &DecodeManifest;
};

}  // namespace teaseljunction
