#pragma once

#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
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

  /// Returns true for requests of idempotent routes, and for those that match no route.
  bool MayOverlap(const http_request& request) const override;

  /// Refuses requests of callers with kDraining that are not expected to end by `stop_end`, as far
  /// as their own deadline does not end them before. Refused callers are asked to come back at
  /// `callers_leave_at`, when they have learned of the stop.
  void BeginDrain(absl::Time callers_leave_at, absl::Time stop_end);

  /// Refuses all further requests of callers with kDraining. Child calls of the local target are
  /// still accepted, because calls that are running depend on them; they end by
  /// `child_call_deadline`. Without a context token, a call that may run only once is accepted only
  /// if its own deadline is not later, and a repeatable one only if it is expected to end by then.
  void StopAcceptingCallers(absl::Time child_call_deadline);

  /// Refuses all further requests with kDraining. Meant for the time when no call runs at the local
  /// target any more, because callers of open routes cannot be told from child calls.
  void StopAccepting();

 private:
  // State of a planned stop.
  struct drain_state {
    absl::Time callers_leave_at;
    absl::Time stop_end;
    // Set once callers are no longer accepted.
    absl::optional<absl::Time> child_call_deadline;
  };

  // Refuses the call, or limits its deadline, if the stop leaves too little time for it.
  result<void> ApplyDrain(resolved_call& resolved, absl::Time now);
  void HandleCall(http_request request, std::shared_ptr<http_exchange> exchange);
  std::string RequestIdFor(const http_request& request);
  uint64_t ManifestVersion() const;
  result<resolved_call> Resolve(http_request request, const std::string& request_id);
  // Gives a child call without a token the rank that follows from the execution that made it.
  void InheritRank(call& request) const;
  // Time after which a caller refused because of the stop is asked to come back.
  absl::Duration DrainingRetryAfter(absl::Time now);

  const entry_call_dependencies& deps_;
  const active_manifest& config_;
  call_context_table& contexts_;
  target_announcement_handler& target_;
  const std::string host_ip_;
  absl::Mutex mutex_;
  absl::optional<drain_state> drain_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction
