#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "balancer/attempt_budget.h"
#include "common/scheduler.h"
#include "gateway/account_rate_limiter.h"
#include "gateway/call_graph.h"
#include "gateway/call_metrics.h"
#include "gateway/call_resolver.h"
#include "gateway/control_client.h"
#include "gateway/pending_work_counter.h"
#include "gateway/quarantine_registry.h"
#include "gateway/target_selector.h"
#include "http/http_handler.h"
#include "rpc/peer_client.h"

namespace teaseljunction {

/// Dependencies of `entry_call`. All referenced objects must outlive every call.
struct entry_call_dependencies {
  const clock_source& clock;
  random_source& random;
  scheduler& timers;
  account_rate_limiter& accounts;
  target_selector& targets;
  control_client& control;
  peer_client& peers;
  quarantine_registry& quarantine;
  call_metrics& metrics;
  pending_work_counter& pending;
  const resolver_settings& settings;
  call_graph& graph;
};

/// Processes one request of a caller, or one child call of the local target, from its resolution to
/// the response: token of the client account, claim, choice of a target, attempts, response. The
/// steps run one after the other, each on the thread that completed the previous one. The object
/// keeps itself alive until it has responded.
class entry_call : public std::enable_shared_from_this<entry_call> {
 public:
  entry_call(const entry_call_dependencies& dependencies, resolved_call resolved,
             std::shared_ptr<http_exchange> exchange);

  /// Starts processing. The object must be owned by a shared pointer.
  void Start();

 private:
  // Gives a request that returns as told the first cohort of its priority. Returns false if the
  // request returns early; it has then been refused.
  bool AdmitReturn();
  void AcquireToken();
  void OnToken(const token_result& token);
  void RegisterClaim();
  void OnClaim(const outcome<command_result>& claimed);
  void ReplayResponse(call_answer recorded);
  void Dispatch();
  void SendAttempt(const target_choice& target, uint32_t attempt_budget_for_target);
  void OnAttemptFinished(const std::string& daemon_id, absl::Time sent_at, execute_result executed);
  void HandleFailure(const error& failure);
  void RecordAttemptOutcome(const std::string& daemon_id, absl::Time sent_at,
                            const execute_result& executed);
  void OnCallerDisconnect();
  bool IsCallerDisconnected();

  void Respond(call_answer answer);
  void RespondWithError(const error& failure,
                        absl::optional<absl::Duration> retry_after = absl::nullopt);
  // Returns the delay after which a caller refused with `reported` may send its request again.
  absl::Duration RetryAfterFor(error_kind reported, absl::optional<absl::Duration> estimate);
  void Finish(http_response response);
  void Complete(const call_answer& answer);
  void Release();
  void ProposeInBackground(command proposal);

  const entry_call_dependencies& deps_;
  // Changed only by `Start`, before the first attempt.
  resolved_call resolved_;
  const std::shared_ptr<http_exchange> exchange_;
  const absl::Time started_at_;
  const std::string attempt_id_;
  attempt_budget budget_;
  std::vector<std::string> attempted_daemon_ids_;
  // Also read when the caller disconnects, on another thread.
  std::atomic<uint32_t> attempt_count_ = 0;
  uint32_t crash_count_ = 0;
  bool claim_held_ = false;
  // True once the entry has admitted a new request.
  bool admitted_ = false;
  // True once a target has run the request and not failed.
  bool served_ = false;
  // True once an attempt has ended with an answer of its target, or without a statement that the
  // target has not run it.
  bool reached_target_ = false;
  // True once an attempt has ended in a way that does not rule out that the target ran the request.
  bool may_have_run_ = false;
  // Outcome of the last attempt, reported when no further attempt is possible: its error, or the
  // complete response of a target that failed.
  absl::optional<error> last_failure_;
  absl::optional<call_answer> failed_response_;
  absl::Duration last_service_time_;
  // Time after which a request of this rank would find capacity. The default holds for refusals
  // other than those of the entry, which give no estimate.
  absl::Duration room_expected_in_ = absl::Milliseconds(500);
  // Time until the promise to this request is due, if it came too early.
  absl::optional<absl::Duration> early_by_;

  absl::Mutex mutex_;
  bool caller_disconnected_ ABSL_GUARDED_BY(mutex_) = false;
  absl::optional<uint64_t> execute_id_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction
