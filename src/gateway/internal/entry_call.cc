#include "gateway/entry_call.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "balancer/retry_policy.h"
#include "common/event_log.h"
#include "common/log.h"
#include "http/problem.h"

namespace teaseljunction {
namespace {

constexpr int kAttemptIdBytes = 16;
// A leader change takes 1 to 2 s; a claim waits for it if its deadline allows.
constexpr absl::Duration kClaimTimeout = absl::Seconds(3);
// Time limit for recording the outcome of a claimed call while the control group is unavailable.
constexpr absl::Duration kBackgroundProposalTimeout = absl::Seconds(30);
// Time beyond the deadline in which the daemon beside the target can still report whether the call
// ran.
constexpr absl::Duration kResultMargin = absl::Milliseconds(100);
// Estimated time until a refused caller is likely to be admitted.
constexpr absl::Duration kDefaultRetryAfter = absl::Milliseconds(500);
constexpr absl::string_view kReplayedHeader = "Teaseljunction-Replayed";

// True for errors with which a target or its daemon refuses a call without having failed.
bool IsRefusal(error_kind kind) {
  switch (kind) {
    case error_kind::kOverloaded:
    case error_kind::kDeadlineTooShort:
    case error_kind::kDraining:
    case error_kind::kTargetShed:
    case error_kind::kQuarantined:
      return true;
    default:
      return false;
  }
}

// True for refusals for lack of capacity, after which the request may return.
bool IsOverload(error_kind kind) {
  return kind == error_kind::kOverloaded || kind == error_kind::kTargetShed;
}

attempt_result AttemptResultOf(const execute_result& executed) {
  if (const auto* failure = std::get_if<error>(&executed.answer)) {
    if (failure->kind == error_kind::kCancelled) return attempt_result::kCancelled;
    return IsRefusal(failure->kind) ? attempt_result::kRefused : attempt_result::kFailed;
  }
  return executed.target_failed ? attempt_result::kFailed : attempt_result::kAnswered;
}

}  // namespace

entry_call::entry_call(const entry_call_dependencies& dependencies, resolved_call resolved,
                       std::shared_ptr<http_exchange> exchange)
    : deps_(dependencies),
      resolved_(std::move(resolved)),
      exchange_(std::move(exchange)),
      started_at_(dependencies.clock.Now()),
      attempt_id_(resolved_.needs_claim ? RandomHex(dependencies.random, kAttemptIdBytes) : ""),
      budget_(resolved_.request.attempt_budget) {}

void entry_call::Start() {
  deps_.graph.RecordEntryStart(resolved_.request.route, started_at_);
  const auto on_disconnect = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerDisconnect();
  };
  exchange_->OnDisconnect(on_disconnect);
  if (resolved_.parent != nullptr) resolved_.parent->AddChildCancellation(on_disconnect);
  if (deps_.quarantine.Contains(resolved_.request.fingerprint)) {
    return RespondWithError({error_kind::kQuarantined, ""});
  }
  if (resolved_.request.depth == 0) {
    if (!AdmitReturn()) return;
    const auto shortage = deps_.graph.FindOverloadedService(resolved_.request, started_at_);
    if (shortage) {
      room_expected_in_ = shortage->room_expected_in;
      return RespondWithError(
          {error_kind::kOverloaded, absl::StrCat("Service ", shortage->service, " has no room.")});
    }
    admitted_ = true;
  }
  // Refuses a request that its service would shed before it uses a token or a claim.
  if (!deps_.targets.AnyTargetAdmits(resolved_.request, started_at_)) {
    return RespondWithError(
        {error_kind::kOverloaded, "The targets of the service shed this priority."});
  }
  AcquireToken();
}

bool entry_call::AdmitReturn() {
  const absl::optional<absl::Time> deadline =
      resolved_.deadline_stated ? absl::make_optional(resolved_.deadline) : absl::nullopt;
  const return_decision decision =
      deps_.graph.RedeemReturn(resolved_.request.fingerprint, deadline, started_at_);
  if (decision.state == return_state::kNew) return true;
  deps_.metrics.RecordReturns(deps_.graph.TakeReturnCounts());
  if (decision.state == return_state::kEarly) {
    early_by_ = decision.remaining;
    RespondWithError({error_kind::kOverloaded, "The request returned before its time."});
    return false;
  }
  resolved_.request.cohort = 0;
  return true;
}

void entry_call::AcquireToken() {
  if (!resolved_.needs_token) return RegisterClaim();
  deps_.accounts.AcquireToken(
      resolved_.request.client_account,
      [self = shared_from_this()](token_result token) { self->OnToken(token); });
}

void entry_call::OnToken(const token_result& token) {
  if (token.granted) return RegisterClaim();
  RespondWithError({error_kind::kRateExceeded, ""}, token.retry_after);
}

void entry_call::RegisterClaim() {
  if (!resolved_.needs_claim) return Dispatch();
  const call& request = resolved_.request;
  const absl::Time deadline = std::min(resolved_.deadline, deps_.clock.Now() + kClaimTimeout);
  deps_.control.Propose(
      claim{request.client_account, request.identity, request.fingerprint, attempt_id_}, deadline,
      [self = shared_from_this()](outcome<command_result> claimed) { self->OnClaim(claimed); });
}

void entry_call::OnClaim(const outcome<command_result>& claimed) {
  const auto* claim_result = std::get_if<command_result>(&claimed);
  if (claim_result == nullptr) {
    // The claim may still be committed later, but the request is never dispatched.
    Release();
    return RespondWithError({error_kind::kClaimUnavailable, ""});
  }
  if (!claim_result->applied) return RespondWithError(claim_result->failure);
  if (claim_result->claim_outcome == claim_state::kCompleted)
    return ReplayResponse(claim_result->answer);
  {
    absl::MutexLock lock(&mutex_);
    claim_held_ = true;
  }
  // Until `Finish`, also when the caller has disconnected: only this daemon can record the outcome.
  deps_.pending.Begin();
  Dispatch();
}

void entry_call::ReplayResponse(call_answer recorded) {
  recorded.headers.push_back({std::string(kReplayedHeader), "true"});
  Respond(std::move(recorded));
}

void entry_call::Dispatch() {
  const absl::Time now = deps_.clock.Now();
  if (IsCallerDisconnected()) return RespondWithError({error_kind::kCancelled, ""});
  if (now >= resolved_.deadline) return RespondWithError({error_kind::kDeadlineTooShort, ""});
  const auto target = deps_.targets.ChooseTarget(resolved_.request, attempted_daemon_ids_, now);
  if (!target) return RespondWithError(last_failure_.value_or(error{error_kind::kNoTarget, ""}));
  const auto forwarded_budget = budget_.TakeForDispatch();
  if (!forwarded_budget) return RespondWithError({error_kind::kAttemptsExhausted, ""});
  ++attempt_count_;
  if (attempt_count_ == 1) {
    deps_.targets.RecordFirstAttempt(resolved_.request.service, now);
    if (resolved_.request.depth == 0) {
      deps_.graph.RecordEntryAdmitted(resolved_.request.priority, now);
    }
  }
  deps_.metrics.RecordAttempt(attempt_count_ > 1);
  SendAttempt(*target, *forwarded_budget);
}

void entry_call::SendAttempt(const target_choice& target, uint32_t attempt_budget_for_target) {
  const absl::Time now = deps_.clock.Now();
  call request = resolved_.request;
  request.time_left = resolved_.deadline - now;
  request.attempt_budget = attempt_budget_for_target;
  const uint32_t attempt = attempt_count_;
  const call_event event = attempt > 1 ? call_event::kResent : call_event::kSent;
  if (WantsCallLog(event, request.request_id)) {
    LogCall(event, request.request_id,
            {{"account", request.client_account},
             {"service", request.service},
             {"to", target.daemon_id},
             {"attempt", attempt},
             {"depth", request.depth},
             {"left_ms", request.time_left}});
  }
  attempted_daemon_ids_.push_back(target.daemon_id);
  deps_.targets.OnAttemptStarted(request.service, target.daemon_id, now);
  const absl::Duration time_left = request.time_left;
  const uint64_t id = deps_.peers.Execute(
      target.address, std::move(request), time_left + kResultMargin,
      [self = shared_from_this(), daemon_id = target.daemon_id, now](execute_result executed) {
        self->OnAttemptFinished(daemon_id, now, std::move(executed));
      });
  bool cancel = false;
  {
    absl::MutexLock lock(&mutex_);
    // The attempt may have failed and the next one may have been sent before `Execute` returned.
    if (attempt_count_ == attempt) execute_id_ = id;
    cancel = caller_disconnected_ && !claim_held_;
  }
  // The caller may have disconnected while the attempt was being sent. Ids of finished attempts are
  // ignored.
  if (cancel) deps_.peers.CancelExecute(id);
}

void entry_call::RecordAttemptOutcome(const std::string& daemon_id, absl::Time sent_at,
                                      const execute_result& executed) {
  const absl::Time now = deps_.clock.Now();
  deps_.targets.OnAttemptFinished(resolved_.request.service, daemon_id, AttemptResultOf(executed),
                                  now - sent_at, executed.level, now);
  deps_.targets.ReportLoad(resolved_.request.service, daemon_id, executed.load, now);
  deps_.graph.RecordCosts(resolved_.request.route, executed.costs, now);
  budget_.ReturnLastAllocation(executed.unused_attempts);
  last_service_time_ = executed.service_time;
}

void entry_call::OnAttemptFinished(const std::string& daemon_id, absl::Time sent_at,
                                   execute_result executed) {
  RecordAttemptOutcome(daemon_id, sent_at, executed);
  const auto* ended = std::get_if<error>(&executed.answer);
  reached_target_ |= ended == nullptr || AnswerFor(ended->kind).run == run_state::kMayHaveRun;
  if (auto* answer = std::get_if<call_answer>(&executed.answer)) {
    served_ = !executed.target_failed;
    if (!executed.target_failed || claim_held_) return Respond(std::move(*answer));
    failed_response_ = std::move(*answer);
    return HandleFailure({error_kind::kTargetFailed, "The target answered with a server error."});
  }
  failed_response_.reset();
  HandleFailure(std::get<error>(executed.answer));
}

void entry_call::HandleFailure(const error& failure) {
  if (AnswerFor(failure.kind).run == run_state::kMayHaveRun) may_have_run_ = true;
  const absl::Time now = deps_.clock.Now();
  if (failure.kind == error_kind::kTargetCrashed) ++crash_count_;
  last_failure_ = failure;
  absl::optional<absl::Duration> retry_delay;
  if (!IsCallerDisconnected()) {
    retry_delay =
        deps_.targets.WithRetryBudget(resolved_.request.service, [&](retry_budget& retries) {
          return DecideRetry({.service = resolved_.request.service,
                              .kind = failure.kind,
                              .idempotent = resolved_.request.idempotent,
                              .has_claim = claim_held_,
                              .attempts_made = attempt_count_,
                              .crash_count = crash_count_,
                              .time_left = resolved_.deadline - now,
                              .max_attempts = resolved_.max_targets},
                             retries, deps_.random, now);
        });
  }
  if (retry_delay) {
    deps_.timers.RunAt(now + *retry_delay, [self = shared_from_this()] { self->Dispatch(); });
    return;
  }
  RespondWithError(failure);
}

void entry_call::OnCallerDisconnect() {
  absl::optional<uint64_t> attempt_to_cancel;
  {
    absl::MutexLock lock(&mutex_);
    caller_disconnected_ = true;
    // A claimed call keeps running, so that a repeated request gets its response.
    if (!claim_held_) attempt_to_cancel = execute_id_;
  }
  LogCall(call_event::kCallerDisconnected, resolved_.request.request_id,
          {{"service", resolved_.request.service},
           {"attempts", attempt_count_.load()},
           {"held_ms", deps_.clock.Now() - started_at_}});
  if (attempt_to_cancel) deps_.peers.CancelExecute(*attempt_to_cancel);
}

bool entry_call::IsCallerDisconnected() {
  absl::MutexLock lock(&mutex_);
  return caller_disconnected_;
}

void entry_call::Respond(call_answer answer) {
  if (claim_held_) Complete(answer);
  if (WantsCallLog(call_event::kAnswered, resolved_.request.request_id)) {
    LogCall(call_event::kAnswered, resolved_.request.request_id,
            {{"status", answer.status},
             {"attempts", attempt_count_.load()},
             {"held_ms", deps_.clock.Now() - started_at_},
             {"target_ms", last_service_time_}});
  }
  deps_.metrics.RecordResponse(resolved_.request.priority, deps_.clock.Now() - started_at_,
                               last_service_time_);
  Finish({answer.status, std::move(answer.headers), std::move(answer.body)});
}

void entry_call::RespondWithError(const error& failure,
                                  absl::optional<absl::Duration> retry_after) {
  if (failed_response_) return Respond(std::move(*failed_response_));
  error reported = failure;
  // The refusal of a later attempt must not hide that an earlier attempt may have run.
  if (may_have_run_ && AnswerFor(failure.kind).run == run_state::kNotRun) {
    reported = {error_kind::kOutcomeUnknown, failure.detail};
  }
  if (claim_held_ && !may_have_run_) Release();
  LogCall(call_event::kRefused, resolved_.request.request_id,
          {{"reason", AnswerFor(reported.kind).name},
           {"cause", AnswerFor(failure.kind).name},
           {"detail", failure.detail},
           {"account", resolved_.request.client_account},
           {"service", resolved_.request.service},
           {"priority", PriorityName(resolved_.request.priority)},
           {"attempts", attempt_count_.load()},
           {"held_ms", deps_.clock.Now() - started_at_}});
  deps_.metrics.RecordError(reported.kind);
  Finish(ProblemResponse(reported, resolved_.request.request_id,
                         RetryAfterFor(reported.kind, retry_after),
                         deps_.settings.headers.fractional_retry_after));
}

absl::Duration entry_call::RetryAfterFor(error_kind reported,
                                         absl::optional<absl::Duration> estimate) {
  if (early_by_) return *early_by_;
  const call& request = resolved_.request;
  if (!estimate && request.depth == 0 && IsOverload(reported)) {
    const absl::Time now = deps_.clock.Now();
    const bool fractional = deps_.settings.headers.fractional_retry_after;
    const refused_request refused{
        .fingerprint = request.fingerprint,
        .priority = request.priority,
        .room_expected_in = room_expected_in_,
        .time_left = resolved_.deadline - now,
        .resolution = fractional ? absl::Milliseconds(1) : absl::Seconds(1)};
    if (const auto scheduled = deps_.graph.ScheduleReturn(refused, now)) {
      deps_.metrics.RecordReturns(deps_.graph.TakeReturnCounts());
      return scheduled->delay;
    }
  }
  return RetryAfterDelay(estimate.value_or(kDefaultRetryAfter), deps_.random);
}

void entry_call::Finish(http_response response) {
  if (admitted_ && attempt_count_ == 0) {
    deps_.graph.RecordWithdrawn(resolved_.request, deps_.clock.Now());
  } else if (admitted_) {
    deps_.graph.RecordEnded(resolved_.request, served_, deps_.clock.Now());
  }
  deps_.graph.RecordEntryEnd(resolved_.request.route, started_at_, reached_target_,
                             deps_.clock.Now());
  if (claim_held_) deps_.pending.End();
  if (resolved_.parent != nullptr) {
    resolved_.parent->ReturnUnusedAttempts(resolved_.parent_allocation_id, budget_.Remaining());
  }
  const std::string& name = deps_.settings.headers.request_id;
  if (!FindHeader(response.headers, name)) {
    response.headers.push_back({name, resolved_.request.request_id});
  }
  exchange_->Respond(std::move(response));
}

void entry_call::Complete(const call_answer& answer) {
  const call& request = resolved_.request;
  ProposeInBackground(
      complete_claim{request.client_account, request.identity, attempt_id_, answer});
}

void entry_call::Release() {
  const call& request = resolved_.request;
  ProposeInBackground(release_claim{request.client_account, request.identity, attempt_id_});
}

void entry_call::ProposeInBackground(command proposal) {
  deps_.pending.Begin();
  deps_.control.Propose(std::move(proposal), deps_.clock.Now() + kBackgroundProposalTimeout,
                        [self = shared_from_this()](const outcome<command_result>& recorded) {
                          if (recorded.index() != 0) {
                            LOG(WARNING)
                                << "routing: failed to record the outcome of request "
                                << self->resolved_.request.request_id << " with the control group.";
                          }
                          self->deps_.pending.End();
                        });
}

}  // namespace teaseljunction
