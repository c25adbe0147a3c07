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
// Time for which the outcome of a claimed call is proposed again while the control group is away.
constexpr absl::Duration kBackgroundProposeTimeout = absl::Seconds(30);
// Time after the deadline within which the daemon beside the target tells whether the call ran.
constexpr absl::Duration kVerdictMargin = absl::Milliseconds(100);
// Estimate of the time after which a refused caller may find room.
constexpr absl::Duration kDefaultRetryAfter = absl::Milliseconds(500);
constexpr absl::string_view kReplayedHeader = "Teaseljunction-Replayed";

// Kinds with which a target or its daemon refuses a call without being at fault.
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

attempt_result AttemptResultOf(const execute_result& executed) {
  if (const auto* failure = std::get_if<error>(&executed.answer)) {
    if (failure->kind == error_kind::kCancelled) return attempt_result::kCancelled;
    return IsRefusal(failure->kind) ? attempt_result::kRefused : attempt_result::kFailed;
  }
  return executed.target_failed ? attempt_result::kFailed : attempt_result::kAnswered;
}

}  // namespace

entry_call::entry_call(const entry_ports& ports, resolved_call resolved,
                       std::shared_ptr<http_exchange> exchange)
    : ports_(ports),
      resolved_(std::move(resolved)),
      exchange_(std::move(exchange)),
      started_at_(ports.clock.Now()),
      attempt_id_(resolved_.needs_claim ? RandomHex(ports.random, kAttemptIdBytes) : ""),
      budget_(resolved_.request.attempt_budget) {}

void entry_call::Start() {
  const auto on_gone = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerGone();
  };
  exchange_->OnDisconnect(on_gone);
  if (resolved_.parent != nullptr) resolved_.parent->AddChildCancel(on_gone);
  if (ports_.quarantine.Contains(resolved_.request.fingerprint)) {
    return Refuse({error_kind::kQuarantined, ""});
  }
  if (resolved_.request.depth == 0) {
    const std::string full = ports_.graph.Refusing(resolved_.request, started_at_);
    if (!full.empty()) {
      return Refuse({error_kind::kOverloaded, absl::StrCat("Service ", full, " has no room.")});
    }
  }
  // A request that its service would shed is refused before it uses a token or a claim.
  if (!ports_.targets.Admits(resolved_.request, started_at_)) {
    return Refuse({error_kind::kOverloaded, "The targets of the service shed this priority."});
  }
  AcquireToken();
}

void entry_call::AcquireToken() {
  if (!resolved_.needs_share) return RegisterClaim();
  ports_.accounts.Acquire(
      resolved_.request.client_account,
      [self = shared_from_this()](token_result token) { self->OnToken(token); });
}

void entry_call::OnToken(const token_result& token) {
  if (token.granted) return RegisterClaim();
  Refuse({error_kind::kRateExceeded, ""}, token.retry_after);
}

void entry_call::RegisterClaim() {
  if (!resolved_.needs_claim) return Dispatch();
  const call& request = resolved_.request;
  const absl::Time deadline = std::min(resolved_.deadline, ports_.clock.Now() + kClaimTimeout);
  ports_.control.Propose(
      claim{request.client_account, request.identity, request.fingerprint, attempt_id_}, deadline,
      [self = shared_from_this()](outcome<command_result> claimed) { self->OnClaim(claimed); });
}

void entry_call::OnClaim(const outcome<command_result>& claimed) {
  const auto* decided = std::get_if<command_result>(&claimed);
  if (decided == nullptr) {
    // The claim may still be committed later; the request is not dispatched in any case.
    Release();
    return Refuse({error_kind::kClaimUnavailable, ""});
  }
  if (!decided->applied) return Refuse(decided->failure);
  if (decided->claim == claim_state::kCompleted) return AnswerRecorded(decided->answer);
  {
    absl::MutexLock lock(&mutex_);
    claim_held_ = true;
  }
  Dispatch();
}

void entry_call::AnswerRecorded(call_answer recorded) {
  recorded.headers.push_back({std::string(kReplayedHeader), "true"});
  Answer(std::move(recorded));
}

void entry_call::Dispatch() {
  const absl::Time now = ports_.clock.Now();
  if (CallerGone()) return Refuse({error_kind::kCancelled, ""});
  if (now >= resolved_.deadline) return Refuse({error_kind::kDeadlineTooShort, ""});
  const auto target = ports_.targets.Choose(resolved_.request, tried_, now);
  if (!target) return Refuse(last_failure_.value_or(error{error_kind::kNoTarget, ""}));
  const auto handed_on = budget_.TakeForDispatch();
  if (!handed_on) return Refuse({error_kind::kAttemptsExhausted, ""});
  ++attempts_;
  if (attempts_ == 1) ports_.targets.RecordAttempt(resolved_.request.service, now);
  ports_.metrics.RecordAttempt(attempts_ > 1);
  SendAttempt(*target, *handed_on);
}

void entry_call::SendAttempt(const target_choice& target, uint32_t attempt_budget_for_target) {
  const absl::Time now = ports_.clock.Now();
  call request = resolved_.request;
  request.time_left = resolved_.deadline - now;
  request.attempt_budget = attempt_budget_for_target;
  const call_event event = attempts_ > 1 ? call_event::kResent : call_event::kSent;
  if (WantsCallLog(event, request.request_id)) {
    LogCall(event, request.request_id,
            {{"account", request.client_account},
             {"service", request.service},
             {"to", target.daemon_id},
             {"attempt", attempts_},
             {"depth", request.depth},
             {"left_ms", request.time_left}});
  }
  tried_.push_back(target.daemon_id);
  ports_.targets.Started(request.service, target.daemon_id, now);
  const absl::Duration time_left = request.time_left;
  const uint64_t id = ports_.peers.Execute(
      target.address, std::move(request), time_left + kVerdictMargin,
      [self = shared_from_this(), daemon_id = target.daemon_id, now](execute_result executed) {
        self->OnAttempt(daemon_id, now, std::move(executed));
      });
  bool cancel = false;
  {
    absl::MutexLock lock(&mutex_);
    execute_id_ = id;
    cancel = caller_gone_ && !claim_held_;
  }
  // The caller may have gone while the attempt was being sent. Ids of finished attempts are
  // ignored.
  if (cancel) ports_.peers.CancelExecute(id);
}

void entry_call::RecordAttemptOutcome(const std::string& daemon_id, absl::Time sent_at,
                                      const execute_result& executed) {
  const absl::Time now = ports_.clock.Now();
  ports_.targets.Finished(resolved_.request.service, daemon_id, AttemptResultOf(executed),
                          now - sent_at, executed.level, now);
  ports_.targets.ReportLoad(resolved_.request.service, daemon_id, executed.load, now);
  ports_.graph.Learn(resolved_.request.route, executed.costs, now);
  budget_.Return(executed.unused_attempts);
  last_service_time_ = executed.service_time;
}

void entry_call::OnAttempt(const std::string& daemon_id, absl::Time sent_at,
                           execute_result executed) {
  RecordAttemptOutcome(daemon_id, sent_at, executed);
  if (auto* answer = std::get_if<call_answer>(&executed.answer)) {
    if (!executed.target_failed || claim_held_) return Answer(std::move(*answer));
    failure_answer_ = std::move(*answer);
    return HandleFailure({error_kind::kTargetFailed, "The target answered with a server error."});
  }
  failure_answer_.reset();
  HandleFailure(std::get<error>(executed.answer));
}

void entry_call::HandleFailure(const error& failure) {
  if (AnswerFor(failure.kind).run == run_state::kMayHaveRun) may_have_run_ = true;
  const absl::Time now = ports_.clock.Now();
  if (failure.kind == error_kind::kTargetCrashed) ++crashes_;
  last_failure_ = failure;
  absl::optional<absl::Duration> retry_delay;
  if (!CallerGone()) {
    retry_delay =
        ports_.targets.WithRetryBudget(resolved_.request.service, [&](retry_budget& retries) {
          return DecideRetry({.service = resolved_.request.service,
                              .kind = failure.kind,
                              .idempotent = resolved_.request.idempotent,
                              .has_claim = claim_held_,
                              .attempts_made = attempts_,
                              .crashes = crashes_,
                              .time_left = resolved_.deadline - now,
                              .max_attempts = resolved_.max_targets},
                             retries, ports_.random, now);
        });
  }
  if (retry_delay) {
    ports_.timers.RunAt(now + *retry_delay, [self = shared_from_this()] { self->Dispatch(); });
    return;
  }
  Refuse(failure);
}

void entry_call::OnCallerGone() {
  absl::optional<uint64_t> running;
  {
    absl::MutexLock lock(&mutex_);
    caller_gone_ = true;
    // A claimed call runs on, so that a repeat of the request gets its answer.
    if (!claim_held_) running = execute_id_;
  }
  LogCall(call_event::kCallerGone, resolved_.request.request_id,
          {{"service", resolved_.request.service},
           {"attempts", attempts_},
           {"held_ms", ports_.clock.Now() - started_at_}});
  if (running) ports_.peers.CancelExecute(*running);
}

bool entry_call::CallerGone() {
  absl::MutexLock lock(&mutex_);
  return caller_gone_;
}

void entry_call::Answer(call_answer answer) {
  if (claim_held_) Complete(answer);
  if (WantsCallLog(call_event::kAnswered, resolved_.request.request_id)) {
    LogCall(call_event::kAnswered, resolved_.request.request_id,
            {{"status", answer.status},
             {"attempts", attempts_},
             {"held_ms", ports_.clock.Now() - started_at_},
             {"target_ms", last_service_time_}});
  }
  ports_.metrics.RecordAnswer(resolved_.request.priority, ports_.clock.Now() - started_at_,
                              last_service_time_);
  Finish({answer.status, std::move(answer.headers), std::move(answer.body)});
}

void entry_call::Refuse(const error& failure, absl::optional<absl::Duration> retry_after) {
  if (failure_answer_) return Answer(std::move(*failure_answer_));
  error reported = failure;
  // A refusal of a later attempt must not hide that an earlier one may have run.
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
           {"attempts", attempts_},
           {"held_ms", ports_.clock.Now() - started_at_}});
  ports_.metrics.RecordError(reported.kind);
  Finish(ProblemResponse(reported, resolved_.request.request_id,
                         RetryAfterDelay(retry_after.value_or(kDefaultRetryAfter), ports_.random),
                         ports_.settings.headers.fractional_retry_after));
}

void entry_call::Finish(http_response response) {
  if (resolved_.parent != nullptr) {
    resolved_.parent->ReturnFromChild(resolved_.parent_part, budget_.Left());
  }
  const std::string& name = ports_.settings.headers.request_id;
  if (!FindHeader(response.headers, name)) {
    response.headers.push_back({name, resolved_.request.request_id});
  }
  exchange_->Respond(std::move(response));
}

void entry_call::Complete(const call_answer& answer) {
  const call& request = resolved_.request;
  ProposeInBackground(complete{request.client_account, request.identity, attempt_id_, answer});
}

void entry_call::Release() {
  const call& request = resolved_.request;
  ProposeInBackground(release{request.client_account, request.identity, attempt_id_});
}

void entry_call::ProposeInBackground(command proposal) {
  ports_.pending.Begin();
  ports_.control.Propose(std::move(proposal), ports_.clock.Now() + kBackgroundProposeTimeout,
                         [self = shared_from_this()](const outcome<command_result>& recorded) {
                           if (recorded.index() != 0) {
                             LOG(WARNING)
                                 << "routing: the outcome of request "
                                 << self->resolved_.request.request_id << " could not be recorded.";
                           }
                           self->ports_.pending.End();
                         });
}

}  // namespace teaseljunction
