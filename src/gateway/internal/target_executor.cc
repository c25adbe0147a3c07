#include "gateway/target_executor.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "common/event_log.h"
#include "common/log.h"
#include "gateway/load_header.h"

namespace teaseljunction {
namespace {

// Misdirected Request: the response of a process that is not the one the request was meant for.
constexpr int kMisdirectedRequestStatus = 421;
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;
// Maximum delay of an announcement that was sent before the process crashed.
constexpr absl::Duration kMaxAnnouncementDelay = absl::Milliseconds(200);
// Targets announce themselves once a second. When no announcement follows a lost connection within
// this time, the process is considered lost.
constexpr absl::Duration kLossConfirmationTimeout = absl::Milliseconds(1500);
// Time beyond the deadline in which the target can still respond that it has passed. Otherwise the
// connection would be closed just as the target gives the call up itself.
constexpr absl::Duration kTargetResponseMargin = absl::Milliseconds(50);
// One in this many responses reports the cost of its route.
constexpr uint64_t kResponsesPerCostReport = 4;
// Size of the headers and bookkeeping of a queued call, counted towards the limit on queue memory.
constexpr size_t kCallOverheadBytes = 1024;

http_request RequestForTarget(call& request, absl::string_view token,
                              const target_announcement& target, absl::Duration time_left,
                              const call_header_names& header_names) {
  // A call is sent to its target once, so its body is not needed afterwards.
  http_request sent{request.method, request.path, request.headers, request.body.Take()};
  const auto add = [&sent](const std::string& name, std::string value) {
    if (!name.empty()) sent.headers.push_back({name, std::move(value)});
  };
  add(header_names.request_id, request.request_id);
  add(header_names.context, std::string(token));
  add(header_names.deadline, absl::StrCat(absl::ToInt64Milliseconds(time_left)));
  if (!request.client_account.empty()) add(header_names.client_account, request.client_account);
  add(header_names.target_id, target.target_id);
  if (header_names.caller_request_id) {
    sent.expected.echoed = {header_names.request_id, request.request_id};
  } else if (!header_names.context.empty()) {
    // The request id does not identify one attempt: child calls share that of the entry request.
    sent.expected.echoed = {header_names.context, std::string(token)};
    sent.expected.echo_optional = true;
  }
  sent.expected.present = header_names.required_response_header;
  sent.expected.may_end_with_connection = header_names.allow_close_delimited_response;
  return sent;
}

target_result ToTargetResult(const outcome<http_response>& response,
                             const call_header_names& header_names) {
  if (const auto* failure = std::get_if<error>(&response)) {
    if (failure->kind == error_kind::kDeadlineExceeded) return target_result::kTimedOut;
    if (failure->kind == error_kind::kCancelled) return target_result::kCancelled;
    return target_result::kFailed;
  }
  const http_response& received = std::get<http_response>(response);
  // Without the id of a process in the request, 421 is an answer of the application.
  const bool misdirected =
      received.status == kMisdirectedRequestStatus && !header_names.target_id.empty();
  const bool shed = received.status >= kFirstErrorStatus &&
                    FindHeader(received.headers, header_names.not_run).has_value();
  const bool refused = misdirected || shed;
  return refused ? target_result::kShed : target_result::kAnswered;
}

outcome<call_answer> ToCallAnswer(outcome<http_response> response, target_result result,
                                  const call_header_names& header_names) {
  if (result == target_result::kShed) return error{error_kind::kTargetShed, ""};
  if (auto* failure = std::get_if<error>(&response)) return *failure;
  auto& received = std::get<http_response>(response);
  std::erase_if(received.headers, [&header_names](const http_header& header) {
    return absl::EqualsIgnoreCase(header.name, header_names.context);
  });
  return call_answer{received.status, std::move(received.headers), std::move(received.body)};
}

}  // namespace

class target_executor::execution_handle : public call_execution {
 public:
  execution_handle(target_executor& owner, uint64_t call_id) : owner_(owner), call_id_(call_id) {}

  void Cancel() override { owner_.Cancel(call_id_); }

 private:
  target_executor& owner_;
  const uint64_t call_id_;
};

target_executor::target_executor(const target_executor_dependencies& dependencies,
                                 std::string daemon_id, admission_controller admission,
                                 absl::Duration lease, absl::Duration drain_time)
    : deps_(dependencies),
      drain_grace_period_(drain_time / 2),
      admission_(std::move(admission)),
      lease_(lease),
      suspects_(std::move(daemon_id)) {}

announce_result target_executor::HandleAnnouncement(const target_announcement& announced) {
  deferred_work work;
  announce_result processed = announce_result::kOutdated;
  {
    absl::MutexLock lock(&mutex_);
    const absl::Time now = deps_.clock.Now();
    // Announcements can also be late or lost while the process and its calls go on.
    const bool same_process = lease_.IsLatestIncarnation(announced.incarnation);
    processed = lease_.Announce(announced, now);
    const bool joined =
        processed == announce_result::kReplaced || processed == announce_result::kJoined;
    if (processed == announce_result::kRenewed || (joined && same_process)) {
      // The process is still running, so these calls lost their connection for another reason.
      ClearSuspectedLosses(now - kMaxAnnouncementDelay, now);
    } else if (joined) {
      HandleTargetLoss(now);
      admission_.ResetForColdTarget(now);
      pace_ = target_pace();
    }
    if (joined) {
      LOG(INFO) << "membership: target of service " << announced.service << " at "
                << announced.address << " joined with incarnation " << announced.incarnation << ".";
    }
    PollAdmission(work);
  }
  RunDeferred(std::move(work));
  if (processed == announce_result::kUnconfirmed && request_check_) request_check_();
  return processed;
}

void target_executor::RequireConfirmation(absl::AnyInvocable<void()> request_check) {
  absl::MutexLock lock(&mutex_);
  request_check_ = std::move(request_check);
  lease_.RequireConfirmation();
}

bool target_executor::WaiveConfirmation() {
  absl::MutexLock lock(&mutex_);
  const absl::Time now = deps_.clock.Now();
  if (!lease_.WaiveConfirmation(now)) return false;
  ApplySlots(now);
  return true;
}

uint64_t target_executor::Revocations() {
  absl::MutexLock lock(&mutex_);
  return lease_.Revocations();
}

bool target_executor::ConfirmTarget(absl::string_view target_id, uint64_t revocations) {
  absl::MutexLock lock(&mutex_);
  const absl::Time now = deps_.clock.Now();
  if (!lease_.Confirm(target_id, revocations, now)) return false;
  LOG(INFO) << "membership: target " << target_id
            << " was found by a health check and is used as announced.";
  ApplySlots(now);
  return true;
}

bool target_executor::AwaitsConfirmation() {
  absl::MutexLock lock(&mutex_);
  return lease_.AwaitsConfirmation(deps_.clock.Now());
}

bool target_executor::AcceptProbedTarget(const target_announcement& probed) {
  absl::MutexLock lock(&mutex_);
  const absl::Time now = deps_.clock.Now();
  if (!lease_.AcceptProbedTarget(probed, now)) return false;
  LOG(INFO) << "membership: target " << probed.target_id << " of service " << probed.service
            << " responded to a probe at " << probed.address
            << " and is used until it announces itself.";
  ApplySlots(now);
  return true;
}

void target_executor::HandleWithdrawal(uint64_t incarnation) {
  deferred_work work;
  {
    absl::MutexLock lock(&mutex_);
    const absl::Time now = deps_.clock.Now();
    const auto target = lease_.Current(now);
    if (target && target->incarnation == incarnation) {
      LOG(INFO) << "membership: target " << target->target_id << " of service " << target->service
                << (target->draining ? " has withdrawn."
                                     : " withdrew without draining and is now draining.");
    }
    if (target && target->incarnation == incarnation && !target->draining) {
      lease_.Drain(incarnation, now);
    } else {
      // Also for a target that is not the current one: a probe response that is still in transit
      // must not bring it back.
      lease_.Withdraw(incarnation);
    }
    PollAdmission(work);
  }
  RunDeferred(std::move(work));
}

void target_executor::SetSuspects(absl::Span<const std::string> fingerprints) {
  absl::MutexLock lock(&mutex_);
  suspects_.SetSuspects(fingerprints, deps_.clock.Now());
}

void target_executor::ApplySlots(absl::Time now) {
  const auto current = lease_.Current(now);
  uint32_t slots = current ? current->slots : 0;
  if (max_concurrency_ != 0) slots = std::min(slots, max_concurrency_);
  if (slots == applied_slots_) return;
  applied_slots_ = slots;
  admission_.SetSlots(slots, now);
}

void target_executor::SetOverloadControl(overload_control_mode mode) {
  absl::MutexLock lock(&mutex_);
  mode_ = mode;
}

void target_executor::SetMaxConcurrency(uint32_t max_concurrency) {
  absl::MutexLock lock(&mutex_);
  max_concurrency_ = max_concurrency;
  ApplySlots(deps_.clock.Now());
}

void target_executor::StopAccepting() {
  deferred_work work;
  {
    absl::MutexLock lock(&mutex_);
    accepting_ = false;
    RefuseQueued(deps_.clock.Now(), work);
  }
  RunDeferred(std::move(work));
}

void target_executor::RefuseQueued(absl::Time now, deferred_work& work) {
  if (admission_.QueuedCalls() == 0) return;
  absl::erase_if(tasks_, [&](const auto& entry) {
    // A call that is about to start has already left the queue.
    const auto& [call_id, queued] = entry;
    if (queued->started || !admission_.Cancel(call_id, now)) return false;
    work.refusals.emplace_back(queued, error_kind::kDraining);
    return true;
  });
}

bool target_executor::IsPastLastStart(absl::Time now) const {
  return now - lease_.DrainingSince() >= drain_grace_period_;
}

absl::optional<error_kind> target_executor::FindSendObstacle(
    const call& request, const absl::optional<target_announcement>& target, absl::Time now) const {
  if (!target || target->service != request.service) return error_kind::kTargetUnreachable;
  if (IsPastLastStart(now)) return error_kind::kDraining;
  return absl::nullopt;
}

absl::optional<error> target_executor::CheckBeforeSend(task& started,
                                                       const target_announcement& target) {
  absl::MutexLock lock(&mutex_);
  const absl::Time now = deps_.clock.Now();
  const auto current = lease_.Current(now);
  absl::optional<error_kind> obstacle = FindSendObstacle(started.request, current, now);
  // The address may belong to another process by now.
  const bool replaced =
      current && (current->target_id != target.target_id || current->address != target.address);
  if (!obstacle && replaced) obstacle = error_kind::kTargetUnreachable;
  if (!obstacle) return absl::nullopt;
  started.refused_before_send = true;
  return error{*obstacle, ""};
}

// Returns the reason for which a call is refused, or kInternal when it can be accepted.
error_kind target_executor::RefusalReasonFor(const call& request, absl::Time now) {
  const auto obstacle = FindSendObstacle(request, lease_.Current(now), now);
  if (obstacle) return *obstacle;
  if (!accepting_) return error_kind::kDraining;
  if (deps_.quarantine.Contains(request.fingerprint)) return error_kind::kQuarantined;
  return error_kind::kInternal;
}

std::shared_ptr<call_execution> target_executor::Execute(call request, completion done) {
  auto added = std::make_shared<task>();
  deferred_work work;
  uint64_t call_id = 0;
  {
    absl::MutexLock lock(&mutex_);
    const absl::Time now = deps_.clock.Now();
    call_id = ++next_call_id_;
    added->arrived_at = now;
    added->deadline = now + request.time_left;
    added->request = std::move(request);
    added->done = std::move(done);
    tasks_[call_id] = added;
    const error_kind refusal = RefusalReasonFor(added->request, now);
    if (refusal != error_kind::kInternal) {
      tasks_.erase(call_id);
      work.refusals.emplace_back(added, refusal);
    } else {
      const call& accepted = added->request;
      const bool carried = accepted.depth > 0 && mode_ == overload_control_mode::kPlanned;
      ApplyDecision(admission_.Submit({.call_id = call_id,
                                       .priority = accepted.priority,
                                       .cohort = accepted.cohort,
                                       .depth = accepted.depth,
                                       .client_account = accepted.client_account,
                                       .size_bytes = accepted.body.size() + kCallOverheadBytes,
                                       .deadline = added->deadline,
                                       .max_wait = accepted.max_wait,
                                       .carried = carried},
                                      now),
                    work);
      PollAdmission(work);
    }
  }
  RunDeferred(std::move(work));
  return std::make_shared<execution_handle>(*this, call_id);
}

void target_executor::ApplyDecision(const admission_decision& decision, deferred_work& work) {
  const auto found = tasks_.find(decision.call_id);
  if (found == tasks_.end()) return;
  if (decision.verdict == admission_verdict::kQueued) return;
  if (decision.verdict == admission_verdict::kStarted) {
    work.starts.push_back(decision.call_id);
    return;
  }
  // A call whose target leaves while it is queued can run at another target, like one that arrives
  // after the target has left.
  const error_kind reason =
      decision.reason == error_kind::kNoTarget ? error_kind::kTargetUnreachable : decision.reason;
  work.refusals.emplace_back(found->second, reason);
  tasks_.erase(found);
}

void target_executor::PollAdmission(deferred_work& work) {
  const absl::Time now = deps_.clock.Now();
  ApplySlots(now);
  if (IsPastLastStart(now)) RefuseQueued(now, work);
  for (const admission_decision& decision : admission_.Poll(now)) {
    ApplyDecision(decision, work);
  }
  SchedulePoll();
}

void target_executor::SchedulePoll() {
  const absl::Time now = deps_.clock.Now();
  absl::Time next = admission_.NextPoll(now);
  if (!IsPastLastStart(now)) next = std::min(next, lease_.DrainingSince() + drain_grace_period_);
  if (next == absl::InfiniteFuture() || next >= scheduled_poll_at_) return;
  scheduled_poll_at_ = next;
  deps_.timers.RunAt(next, [this] {
    deferred_work work;
    {
      absl::MutexLock lock(&mutex_);
      scheduled_poll_at_ = absl::InfiniteFuture();
      PollAdmission(work);
    }
    RunDeferred(std::move(work));
  });
}

void target_executor::RunDeferred(deferred_work work) {
  const target_executor_status status = work.refusals.empty() ? target_executor_status() : Status();
  for (auto& [refused, reason] : work.refusals) {
    LogCall(call_event::kTargetRefused, refused->request.request_id,
            {{"reason", AnswerFor(reason).name},
             {"priority", PriorityName(refused->request.priority)},
             {"depth", refused->request.depth},
             {"queued_ms", deps_.clock.Now() - refused->arrived_at},
             {"running", status.running},
             {"limit", status.concurrency_limit}});
    Deliver(*refused, error{reason, ""}, absl::ZeroDuration());
  }
  for (const uint64_t call_id : work.starts) StartCall(call_id);
}

void target_executor::StartCall(uint64_t call_id) {
  std::shared_ptr<task> started;
  absl::optional<target_announcement> target;
  absl::optional<error_kind> obstacle;
  deferred_work work;
  {
    absl::MutexLock lock(&mutex_);
    const auto found = tasks_.find(call_id);
    if (found == tasks_.end()) return;
    started = found->second;
    const absl::Time now = deps_.clock.Now();
    target = lease_.Current(now);
    obstacle = FindSendObstacle(started->request, target, now);
    if (!obstacle) {
      started->started = true;
      started->started_at = now;
      suspects_.OnStarted(started->request.fingerprint, now);
    } else {
      // The end of a lease says nothing about the calls that run, so this is not a target loss.
      admission_.Finish(call_id, target_result::kCancelled, absl::ZeroDuration(), now);
      tasks_.erase(found);
      work.refusals.emplace_back(started, *obstacle);
      PollAdmission(work);
    }
  }
  if (obstacle) return RunDeferred(std::move(work));
  deps_.graph.RecordExecutionStart(started->request, started->started_at);
  started->running = std::make_shared<running_call>(started->request, started->deadline);
  started->token = deps_.contexts.Add(started->running);
  if (WantsCallLog(call_event::kStarted, started->request.request_id)) {
    LogCall(call_event::kStarted, started->request.request_id,
            {{"target", target->target_id},
             {"address", target->address},
             {"priority", PriorityName(started->request.priority)},
             {"queued_ms", started->started_at - started->arrived_at}});
  }
  const absl::Duration time_left = started->deadline - started->started_at;
  http_request sent =
      RequestForTarget(started->request, started->token, *target, time_left, deps_.headers);
  sent.before_send = [this, started, target = *target] {
    return CheckBeforeSend(*started, target);
  };
  const uint64_t http_id = deps_.client.Send(
      target->address, std::move(sent), !started->request.idempotent,
      time_left + kTargetResponseMargin, [this, call_id](outcome<http_response> response) {
        OnResponse(call_id, std::move(response));
      });
  bool cancelled = false;
  {
    absl::MutexLock lock(&mutex_);
    started->http_id = http_id;
    cancelled = started->cancelled;
  }
  if (cancelled) deps_.client.Cancel(http_id);
}

void target_executor::OnResponse(uint64_t call_id, outcome<http_response> response) {
  std::shared_ptr<task> finished;
  deferred_work work;
  target_result result = ToTargetResult(response, deps_.headers);
  absl::Time now;
  {
    absl::MutexLock lock(&mutex_);
    const auto found = tasks_.find(call_id);
    if (found == tasks_.end()) return;
    finished = found->second;
    tasks_.erase(found);
    now = deps_.clock.Now();
    if (finished->refused_before_send) result = target_result::kCancelled;
    admission_.Finish(call_id, result, now - finished->started_at, now);
    if (result == target_result::kAnswered) RecordPace(response, now - finished->started_at, now);
    auto* failure = std::get_if<error>(&response);
    if (failure != nullptr && failure->kind == error_kind::kTargetFailed) {
      failure->kind = error_kind::kTargetCrashed;
      AddSuspectedLoss(finished->request.fingerprint, now);
    } else {
      suspects_.OnFinished(finished->request.fingerprint, result == target_result::kAnswered, now);
    }
    const bool unreachable = failure != nullptr && failure->kind == error_kind::kTargetUnreachable;
    if (unreachable && !finished->refused_before_send) HandleTargetLoss(now);
    PollAdmission(work);
  }
  const absl::Duration service_time = now - finished->started_at;
  const auto* failure = std::get_if<error>(&response);
  if (failure != nullptr || WantsCallLog(call_event::kFinished, finished->request.request_id)) {
    LogCall(call_event::kFinished, finished->request.request_id,
            {{"outcome", failure != nullptr ? AnswerFor(failure->kind).name : "answered"},
             {"detail", failure != nullptr ? failure->detail : ""},
             {"status", failure != nullptr ? 0 : std::get<http_response>(response).status},
             {"target_ms", service_time}});
  }
  Deliver(*finished, ToCallAnswer(std::move(response), result, deps_.headers), service_time);
  RunDeferred(std::move(work));
}

void target_executor::AddSuspectedLoss(const std::string& fingerprint, absl::Time now) {
  suspected_losses_.push_back({fingerprint, now});
  deps_.timers.RunAt(now + kLossConfirmationTimeout, [this, now] {
    absl::MutexLock lock(&mutex_);
    // True when no announcement has cleared the call in the meantime.
    const bool unconfirmed =
        std::any_of(suspected_losses_.begin(), suspected_losses_.end(),
                    [now](const suspected_loss& loss) { return loss.lost_at == now; });
    if (unconfirmed) HandleTargetLoss(deps_.clock.Now());
  });
}

void target_executor::ClearSuspectedLosses(absl::Time before, absl::Time now) {
  std::erase_if(suspected_losses_, [&](const suspected_loss& loss) {
    if (loss.lost_at > before) return false;
    suspects_.OnFinished(loss.fingerprint, false, now);
    return true;
  });
}

void target_executor::HandleTargetLoss(absl::Time now) {
  for (crash_report& report : suspects_.OnTargetLost(now)) {
    LOG(WARNING) << "quarantine: the target was lost while running a request with fingerprint "
                 << report.fingerprint << ".";
    crash_reports_.push_back(std::move(report));
  }
  ClearSuspectedLosses(now, now);
}

void target_executor::Cancel(uint64_t call_id) {
  std::shared_ptr<task> cancelled;
  deferred_work work;
  uint64_t http_id = 0;
  {
    absl::MutexLock lock(&mutex_);
    const auto found = tasks_.find(call_id);
    if (found == tasks_.end()) return;
    cancelled = found->second;
    cancelled->cancelled = true;
    if (cancelled->started) {
      http_id = cancelled->http_id;
    } else {
      const absl::Time now = deps_.clock.Now();
      // A call that was admitted but not started has left the queue and occupies a slot.
      if (!admission_.Cancel(call_id, now)) {
        admission_.Finish(call_id, target_result::kCancelled, absl::ZeroDuration(), now);
      }
      tasks_.erase(found);
      PollAdmission(work);
    }
  }
  if (cancelled->started) {
    if (http_id != 0) deps_.client.Cancel(http_id);
  } else {
    Deliver(*cancelled, error{error_kind::kCancelled, ""}, absl::ZeroDuration());
  }
  RunDeferred(std::move(work));
}

overload_level target_executor::CurrentLevel() {
  absl::MutexLock lock(&mutex_);
  return admission_.Level(deps_.clock.Now());
}

void target_executor::RecordPace(const outcome<http_response>& response,
                                 absl::Duration service_time, absl::Time now) {
  const auto* received = std::get_if<http_response>(&response);
  const std::string& name = deps_.headers.reported_load;
  if (mode_ != overload_control_mode::kPlanned || received == nullptr || name.empty()) return;
  const auto load = FindHeader(received->headers, name);
  pace_.Record(ParseLoadHeader(load.value_or("")).pace, service_time, now);
}

void target_executor::AddLoadReport(const call& request, execute_result& delivered) {
  const absl::Time now = deps_.clock.Now();
  const double thread_load = deps_.thread == nullptr ? 0 : deps_.thread->BusyLoad(now);
  double target_load = 0;
  bool includes_cost = false;
  {
    absl::MutexLock lock(&mutex_);
    target_load = TargetLoadAt(now);
    includes_cost = ++response_count_ % kResponsesPerCostReport == 0;
  }
  // A thread with time to spare delays no call, so it is no reason to choose another target.
  delivered.load = std::max(target_load, 2 * thread_load - 1);
  if (!includes_cost) return;
  const service_cost own = {request.service, 1, std::max(target_load, thread_load),
                            absl::ZeroDuration()};
  delivered.costs = deps_.graph.CostOf(request.route, own, now);
}

double target_executor::TargetLoadAt(absl::Time now) const {
  const double limit = std::max<double>(admission_.ConcurrencyLimit(), 1);
  double load = static_cast<double>(admission_.InFlightCalls() + admission_.QueuedCalls()) / limit;
  if (mode_ == overload_control_mode::kPlanned) load *= pace_.LoadFactor(now);
  return load;
}

void target_executor::Deliver(task& finished, outcome<call_answer> answer,
                              absl::Duration service_time) {
  execute_result delivered;
  delivered.unused_attempts = finished.request.attempt_budget;
  bool made_child_calls = false;
  if (finished.running != nullptr) {
    deps_.contexts.Remove(finished.token);
    deps_.graph.RecordExecutionEnd(finished.request.request_id);
    made_child_calls = finished.running->HasMadeChildCalls();
    delivered.unused_attempts = finished.running->End();
  }
  if (const auto* received = std::get_if<call_answer>(&answer)) {
    // A server error after child calls is often caused by them and does not indicate that the
    // target has failed.
    delivered.target_failed = received->status >= kFirstServerErrorStatus && !made_child_calls;
  }
  delivered.answer = std::move(answer);
  delivered.level = CurrentLevel();
  AddLoadReport(finished.request, delivered);
  delivered.service_time = service_time;
  finished.done(std::move(delivered));
}

absl::optional<target_announcement> target_executor::CurrentTarget() {
  absl::MutexLock lock(&mutex_);
  return lease_.Current(deps_.clock.Now());
}

std::vector<crash_report> target_executor::TakeCrashReports() {
  absl::MutexLock lock(&mutex_);
  std::vector<crash_report> reports = std::exchange(crash_reports_, {});
  for (crash_report& completed : suspects_.TakeCompletionReports(deps_.clock.Now())) {
    reports.push_back(std::move(completed));
  }
  return reports;
}

std::string target_executor::FormatPrometheus() {
  absl::MutexLock lock(&mutex_);
  if (!pace_.Reported()) return "";
  const double age = absl::ToDoubleSeconds(pace_.Age(deps_.clock.Now()));
  return absl::StrCat("# TYPE teaseljunction_target_pace gauge\nteaseljunction_target_pace ",
                      *pace_.Reported(), "\n# TYPE teaseljunction_target_pace_age_seconds gauge\n",
                      "teaseljunction_target_pace_age_seconds ", age, "\n");
}

target_executor_status target_executor::Status() {
  absl::MutexLock lock(&mutex_);
  return {admission_.InFlightCalls(), admission_.QueuedCalls(), admission_.ConcurrencyLimit()};
}

}  // namespace teaseljunction
