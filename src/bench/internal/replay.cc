#include "bench/replay.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "bench/replay_components.h"
#include "bench/replay_score.h"
#include "shares/token_allocator.h"
#include "shares/token_cache.h"

namespace teaseljunction {
namespace {

constexpr replay_policy kPolicies[] = {
    {"teaseljunction", replay_policy::admission_kind::kAdaptive, true, 0, true},
    {"fixed-limit", replay_policy::admission_kind::kFixedLimit, false, 3, false},
    {"none", replay_policy::admission_kind::kUnlimited, false, 0, false},
};

constexpr absl::Duration kIntraDataCentreDelay = absl::Microseconds(100);
constexpr absl::Duration kFastFailureDelay = absl::Milliseconds(1);
constexpr absl::Duration kTokenSyncInterval = absl::Seconds(1);
constexpr absl::Duration kMinTokenSyncInterval = absl::Milliseconds(100);
constexpr absl::Duration kMaxTokenWait = absl::Milliseconds(300);
constexpr absl::Duration kCallerRetryDelay = absl::Milliseconds(20);
// Time during which a restarting target accepts no calls.
constexpr absl::Duration kRestartDowntime = absl::Seconds(1);

// A request of a caller, including the caller's retries.
struct caller_request {
  size_t route = 0;
  size_t account = 0;
  uint64_t id = 0;
  absl::Time arrival;
  int retries_left = 0;
  // Summed over all hops and caller retries.
  int attempts = 0;
};

struct target_attempt;

// A call at one hop: one or more attempts at targets of one service. `daemon` is the index of the
// daemon that makes the attempts.
struct hop_call {
  std::shared_ptr<caller_request> request;
  size_t chain_index = 0;
  int daemon = 0;
  absl::Time deadline;
  uint32_t attempts = 0;
  bool finished = false;
  std::vector<std::string> tried;
  std::shared_ptr<target_attempt> current_attempt;
  std::function<void(bool ok, error_kind failure)> on_complete;
};

struct target_attempt {
  std::shared_ptr<hop_call> hop;
  int target = 0;
  uint64_t call_id = 0;
  absl::Time sent_at;
  absl::Time started_at;
  bool started = false;
  bool ended = false;
  // True when the target responds with an error because its child call failed.
  bool child_failed = false;
  std::shared_ptr<hop_call> child;
};

class replay_simulation {
 public:
  replay_simulation(const trace& source, const replay_policy& policy)
      : trace_(source), policy_(policy), random_(source.seed), score_(source) {}

  replay_report Run();

 private:
  struct daemon_state {
    size_t service = 0;
    int data_centre = 0;
    std::unique_ptr<target_admission> admission;
    std::unique_ptr<routing_policy> policy;
    simulated_target target{1};
    absl::Time unavailable_until = absl::InfinitePast();
    absl::Time scheduled_poll = absl::InfiniteFuture();
    token_cache cached_tokens;
    absl::Time last_token_sync = absl::InfinitePast();
    bool token_sync_scheduled = false;
    std::deque<std::pair<std::shared_ptr<hop_call>, uint64_t>> token_waiters;
  };

  void BuildDaemons();
  void ScheduleEvents();
  void ScheduleArrival();
  double LoadAt(absl::Duration elapsed) const;
  double AccountDemandFactor(size_t account, absl::Duration elapsed) const;
  bool IsUnreachable(int data_centre) const;
  bool IsActive(const trace_event& event) const;
  absl::Duration Elapsed() const { return events_.Now() - start_; }
  absl::Duration NetworkDelay(int from, int to) const;

  void GenerateRequest();
  void SendToEntry(std::shared_ptr<caller_request> request);
  void OnEntryResponse(std::shared_ptr<caller_request> request, bool ok);
  void TakeToken(std::shared_ptr<hop_call> hop);
  void ScheduleTokenSync(int daemon_index);
  void SyncTokens(int daemon_index);
  void BeginHop(std::shared_ptr<hop_call> hop);
  void StartAttempt(std::shared_ptr<hop_call> hop);
  void RequestAdmission(std::shared_ptr<target_attempt> attempt);
  void ApplyDecision(const admission_decision& decision);
  void PollAdmission(int daemon_index);
  void StartAtTarget(std::shared_ptr<target_attempt> attempt);
  void ExecuteWork(std::shared_ptr<target_attempt> attempt);
  void OnWorkDone(std::shared_ptr<target_attempt> attempt);
  void FinishAtTarget(std::shared_ptr<target_attempt> attempt, bool ok, error_kind failure);
  void SendResponse(std::shared_ptr<target_attempt> attempt, bool ok, error_kind failure,
                    attempt_result result);
  void OnResponse(std::shared_ptr<target_attempt> attempt, bool ok, error_kind failure,
                  attempt_result result, const overload_level& level);
  void CompleteHop(std::shared_ptr<hop_call> hop, bool ok, error_kind failure);
  void CancelAttempt(std::shared_ptr<target_attempt> attempt);

  const trace_route& RouteOf(const hop_call& hop) const {
    return trace_.routes[hop.request->route];
  }
  const std::string& ServiceOf(const hop_call& hop) const {
    return RouteOf(hop).chain[hop.chain_index];
  }
  uint8_t CohortOfHop(const hop_call& hop) const {
    return CohortOf(trace_.accounts[hop.request->account].name, absl::StrCat(hop.request->id));
  }

  const trace& trace_;
  const replay_policy& policy_;
  replay_random random_;
  event_queue events_;
  const absl::Time start_ = events_.Now();
  replay_score score_;
  std::deque<daemon_state> daemons_;
  token_allocator token_allocator_;
  std::unordered_map<uint64_t, std::shared_ptr<target_attempt>> attempts_at_target_;
  uint64_t next_id_ = 0;
};

replay_report replay_simulation::Run() {
  BuildDaemons();
  ScheduleEvents();
  ScheduleArrival();
  events_.RunUntil(start_ + trace_.duration);
  replay_report report = score_.Report();
  report.trace = trace_.name;
  report.policy = absl::StrCat(policy_.name);
  return report;
}

void replay_simulation::BuildDaemons() {
  const absl::Time now = events_.Now();
  std::vector<balancer_target> targets;
  for (size_t service = 0; service < trace_.services.size(); ++service) {
    for (int i = 0; i < trace_.services[service].targets; ++i) {
      const std::string id = absl::StrCat(targets.size());
      targets.push_back({.daemon_id = id,
                         .service = trace_.services[service].name,
                         .address = id,
                         .data_centre = absl::StrCat("dc", i % trace_.data_centres),
                         .incarnation = 1,
                         .slots = static_cast<uint32_t>(trace_.services[service].slots)});
    }
  }
  std::vector<account_rate> rates;
  const double capacity = CapacityOf(trace_);
  for (const trace_account& account : trace_.accounts) {
    const double rate = account.share * capacity * account.rate_factor;
    rates.push_back({account.name, rate, rate});
  }
  token_allocator_.SetAccounts(rates, now);
  token_allocator_.StartTerm(now);
  size_t next = 0;
  for (size_t service = 0; service < trace_.services.size(); ++service) {
    for (int i = 0; i < trace_.services[service].targets; ++i, ++next) {
      daemon_state& daemon = daemons_.emplace_back();
      daemon.service = service;
      daemon.data_centre = i % trace_.data_centres;
      daemon.target = simulated_target(trace_.services[service].slots);
      daemon.admission = MakeTargetAdmission(policy_, trace_.services[service].slots, now);
      daemon.policy =
          MakeRoutingPolicy(policy_, absl::StrCat(next), absl::StrCat("dc", daemon.data_centre),
                            targets, random_, now);
      daemon.cached_tokens.SetAccounts(rates, now);
      ScheduleTokenSync(static_cast<int>(next));
    }
  }
}

void replay_simulation::ScheduleEvents() {
  for (const trace_event& event : trace_.events) {
    if (event.kind != "restart") continue;
    events_.ScheduleAt(start_ + event.begin, [this, &event] {
      const absl::Time now = events_.Now();
      for (size_t i = 0; i < daemons_.size(); ++i) {
        daemon_state& daemon = daemons_[i];
        if (trace_.services[daemon.service].name != event.name) continue;
        std::vector<std::shared_ptr<target_attempt>> lost;
        for (const auto& [id, attempt] : attempts_at_target_) {
          if (attempt->target == static_cast<int>(i) && attempt->started) lost.push_back(attempt);
        }
        daemon.target.Restart(now);
        daemon.unavailable_until = now + kRestartDowntime;
        for (const auto& attempt : lost) {
          FinishAtTarget(attempt, false, error_kind::kTargetCrashed);
        }
        daemon.admission->Restart(now);
      }
    });
  }
}

bool replay_simulation::IsActive(const trace_event& event) const {
  const absl::Duration elapsed = Elapsed();
  return elapsed >= event.begin && elapsed < event.end;
}

double replay_simulation::LoadAt(absl::Duration elapsed) const {
  const bool peak = elapsed >= trace_.peak_begin && elapsed < trace_.peak_end;
  return peak ? trace_.peak_load : trace_.base_load;
}

double replay_simulation::AccountDemandFactor(size_t account, absl::Duration) const {
  for (const trace_event& event : trace_.events) {
    if (event.kind == "account_load" && event.name == trace_.accounts[account].name &&
        IsActive(event)) {
      return event.value;
    }
  }
  return 1;
}

bool replay_simulation::IsUnreachable(int data_centre) const {
  for (const trace_event& event : trace_.events) {
    if (event.kind == "away" && event.target == data_centre && IsActive(event)) return true;
  }
  return false;
}

absl::Duration replay_simulation::NetworkDelay(int from, int to) const {
  if (from == to) return absl::ZeroDuration();
  return daemons_[from].data_centre == daemons_[to].data_centre ? kIntraDataCentreDelay
                                                                : trace_.data_centre_delay;
}

void replay_simulation::ScheduleArrival() {
  double weight = 0;
  for (size_t i = 0; i < trace_.accounts.size(); ++i) {
    weight += trace_.accounts[i].share * AccountDemandFactor(i, Elapsed());
  }
  const double rate = CapacityOf(trace_) * LoadAt(Elapsed()) * weight;
  const double interval = -std::log(1 - random_.Fraction()) / rate;
  events_.ScheduleAfter(absl::Seconds(interval), [this] {
    GenerateRequest();
    ScheduleArrival();
  });
}

void replay_simulation::GenerateRequest() {
  auto request = std::make_shared<caller_request>();
  double pick = random_.Fraction();
  for (request->route = 0; request->route + 1 < trace_.routes.size(); ++request->route) {
    pick -= trace_.routes[request->route].share;
    if (pick < 0) break;
  }
  double total = 0;
  for (size_t i = 0; i < trace_.accounts.size(); ++i) {
    total += trace_.accounts[i].share * AccountDemandFactor(i, Elapsed());
  }
  pick = random_.Fraction() * total;
  for (request->account = 0; request->account + 1 < trace_.accounts.size(); ++request->account) {
    pick -=
        trace_.accounts[request->account].share * AccountDemandFactor(request->account, Elapsed());
    if (pick < 0) break;
  }
  request->id = ++next_id_;
  request->arrival = events_.Now();
  request->retries_left = trace_.caller_retries;
  score_.RecordArrival(request->route, request->account, Elapsed());
  SendToEntry(std::move(request));
}

void replay_simulation::SendToEntry(std::shared_ptr<caller_request> request) {
  auto hop = std::make_shared<hop_call>();
  do {
    hop->daemon = static_cast<int>(random_.Below(daemons_.size()));
  } while (IsUnreachable(daemons_[hop->daemon].data_centre));
  hop->deadline = events_.Now() + trace_.routes[request->route].timeout;
  hop->request = request;
  hop->on_complete = [this, request](bool ok, error_kind failure) {
    if (!ok) score_.RecordFailure(request->route, failure);
    events_.ScheduleAfter(trace_.caller_delay,
                          [this, request, ok] { OnEntryResponse(request, ok); });
  };
  events_.ScheduleAfter(trace_.caller_delay, [this, hop] {
    if (policy_.uses_balancer) {
      TakeToken(hop);
    } else {
      BeginHop(hop);
    }
  });
}

void replay_simulation::OnEntryResponse(std::shared_ptr<caller_request> request, bool ok) {
  if (!ok && request->retries_left > 0) {
    --request->retries_left;
    events_.ScheduleAfter(kCallerRetryDelay, [this, request] { SendToEntry(request); });
    return;
  }
  score_.RecordCompletion(request->route, request->account, request->arrival - start_, ok,
                          request->attempts);
}

void replay_simulation::TakeToken(std::shared_ptr<hop_call> hop) {
  daemon_state& daemon = daemons_[hop->daemon];
  const std::string& account = trace_.accounts[hop->request->account].name;
  const absl::Time now = events_.Now();
  if (daemon.cached_tokens.TryTake(account, now)) return BeginHop(std::move(hop));
  daemon.cached_tokens.AddWaiting(account);
  const uint64_t id = ++next_id_;
  daemon.token_waiters.emplace_back(hop, id);
  ScheduleTokenSync(hop->daemon);
  events_.ScheduleAfter(kMaxTokenWait, [this, hop, id] {
    daemon_state& owner = daemons_[hop->daemon];
    const auto found = std::find_if(owner.token_waiters.begin(), owner.token_waiters.end(),
                                    [id](const auto& entry) { return entry.second == id; });
    if (found == owner.token_waiters.end()) return;
    owner.token_waiters.erase(found);
    owner.cached_tokens.RemoveWaiting(trace_.accounts[hop->request->account].name);
    CompleteHop(hop, false, error_kind::kRateExceeded);
  });
}

void replay_simulation::ScheduleTokenSync(int daemon_index) {
  daemon_state& daemon = daemons_[daemon_index];
  if (daemon.token_sync_scheduled) return;
  daemon.token_sync_scheduled = true;
  events_.ScheduleAt(daemon.last_token_sync + kMinTokenSyncInterval,
                     [this, daemon_index] { SyncTokens(daemon_index); });
}

void replay_simulation::SyncTokens(int daemon_index) {
  daemon_state& daemon = daemons_[daemon_index];
  const absl::Time sent = events_.Now();
  daemon.last_token_sync = sent;
  daemon.token_sync_scheduled = false;
  auto demands = daemon.cached_tokens.CollectDemands(sent);
  events_.ScheduleAfter(trace_.data_centre_delay, [this, daemon_index, sent,
                                                   demands = std::move(demands)] {
    std::vector<token_grant> grants;
    for (const token_demand& demand : demands) {
      grants.push_back(token_allocator_.Grant(demand, events_.Now()));
    }
    events_.ScheduleAfter(trace_.data_centre_delay, [this, daemon_index, sent,
                                                     grants = std::move(grants)] {
      daemon_state& updated = daemons_[daemon_index];
      updated.cached_tokens.ApplyGrants(grants, sent, events_.Now());
      std::deque<std::pair<std::shared_ptr<hop_call>, uint64_t>> still_waiting;
      for (auto& [hop, id] : std::exchange(updated.token_waiters, {})) {
        const std::string& account = trace_.accounts[hop->request->account].name;
        if (updated.cached_tokens.TryTake(account, events_.Now())) {
          updated.cached_tokens.RemoveWaiting(account);
          BeginHop(hop);
        } else {
          still_waiting.emplace_back(hop, id);
        }
      }
      updated.token_waiters = std::move(still_waiting);
      if (!updated.token_waiters.empty() || updated.cached_tokens.NeedsEarlySync(events_.Now())) {
        ScheduleTokenSync(daemon_index);
      }
    });
  });
  events_.ScheduleAfter(kTokenSyncInterval, [this, daemon_index] {
    if (events_.Now() - daemons_[daemon_index].last_token_sync >= kTokenSyncInterval) {
      ScheduleTokenSync(daemon_index);
    }
  });
}

void replay_simulation::BeginHop(std::shared_ptr<hop_call> hop) {
  if (hop->finished) return;
  const trace_route& route = RouteOf(*hop);
  if (!daemons_[hop->daemon].policy->AnyTargetAdmits(ServiceOf(*hop), route.priority,
                                                     CohortOfHop(*hop), events_.Now())) {
    return CompleteHop(std::move(hop), false, error_kind::kOverloaded);
  }
  events_.ScheduleAt(hop->deadline, [this, hop] {
    if (!hop->finished) CompleteHop(hop, false, error_kind::kDeadlineExceeded);
  });
  daemons_[hop->daemon].policy->RecordFirstAttempt(ServiceOf(*hop), events_.Now());
  StartAttempt(std::move(hop));
}

void replay_simulation::StartAttempt(std::shared_ptr<hop_call> hop) {
  if (hop->finished) return;
  routing_policy& policy = *daemons_[hop->daemon].policy;
  const auto target = policy.ChooseTarget(ServiceOf(*hop), RouteOf(*hop).priority,
                                          CohortOfHop(*hop), hop->tried, events_.Now());
  if (!target) return CompleteHop(std::move(hop), false, error_kind::kNoTarget);
  auto attempt = std::make_shared<target_attempt>();
  attempt->hop = hop;
  attempt->target = *target;
  attempt->call_id = ++next_id_;
  attempt->sent_at = events_.Now();
  hop->current_attempt = attempt;
  ++hop->attempts;
  ++hop->request->attempts;
  hop->tried.push_back(absl::StrCat(*target));
  policy.RecordStart(*target, events_.Now());
  events_.ScheduleAfter(NetworkDelay(hop->daemon, *target),
                        [this, attempt] { RequestAdmission(attempt); });
}

void replay_simulation::RequestAdmission(std::shared_ptr<target_attempt> attempt) {
  daemon_state& daemon = daemons_[attempt->target];
  if (IsUnreachable(daemon.data_centre) || events_.Now() < daemon.unavailable_until) {
    return SendResponse(std::move(attempt), false, error_kind::kTargetUnreachable,
                        attempt_result::kFailed);
  }
  const hop_call& hop = *attempt->hop;
  attempts_at_target_[attempt->call_id] = attempt;
  ApplyDecision(
      daemon.admission->Submit({.call_id = attempt->call_id,
                                .priority = RouteOf(hop).priority,
                                .cohort = CohortOfHop(hop),
                                .depth = static_cast<uint32_t>(hop.chain_index),
                                .client_account = trace_.accounts[hop.request->account].name,
                                .size_bytes = 1024,
                                .deadline = hop.deadline},
                               events_.Now()));
  PollAdmission(attempt->target);
}

void replay_simulation::ApplyDecision(const admission_decision& decision) {
  const auto found = attempts_at_target_.find(decision.call_id);
  if (found == attempts_at_target_.end() || decision.verdict == admission_verdict::kQueued) return;
  const std::shared_ptr<target_attempt> attempt = found->second;
  if (decision.verdict == admission_verdict::kStarted) return StartAtTarget(attempt);
  attempts_at_target_.erase(found);
  SendResponse(attempt, false, decision.reason, attempt_result::kRefused);
}

void replay_simulation::PollAdmission(int daemon_index) {
  daemon_state& daemon = daemons_[daemon_index];
  for (const admission_decision& decision : daemon.admission->Poll(events_.Now())) {
    ApplyDecision(decision);
  }
  const absl::Time next = daemon.admission->NextPoll(events_.Now());
  if (next == absl::InfiniteFuture() || next >= daemon.scheduled_poll) return;
  daemon.scheduled_poll = next;
  events_.ScheduleAt(next, [this, daemon_index] {
    daemons_[daemon_index].scheduled_poll = absl::InfiniteFuture();
    PollAdmission(daemon_index);
  });
}

void replay_simulation::StartAtTarget(std::shared_ptr<target_attempt> attempt) {
  attempt->started = true;
  attempt->started_at = events_.Now();
  daemons_[attempt->target].target.AcquireSlot([this, attempt] { ExecuteWork(attempt); });
}

void replay_simulation::ExecuteWork(std::shared_ptr<target_attempt> attempt) {
  const daemon_state& daemon = daemons_[attempt->target];
  const trace_service& service = trace_.services[daemon.service];
  absl::Duration work = service.work * daemon.target.ColdWorkFactor(events_.Now());
  // Uniformly distributed, 0.5 to 1.5 times the mean.
  work *= 0.5 + random_.Fraction();
  int target_index = 0;
  for (int i = 0; i < attempt->target; ++i) {
    if (daemons_[i].service == daemon.service) ++target_index;
  }
  for (const trace_event& event : trace_.events) {
    if (event.name != service.name || !IsActive(event)) continue;
    if (event.kind == "slow") work *= event.value;
    if (event.kind == "fail_fast" && event.target == target_index) {
      events_.ScheduleAfter(kFastFailureDelay, [this, attempt] {
        FinishAtTarget(attempt, false, error_kind::kTargetFailed);
      });
      return;
    }
  }
  events_.ScheduleAfter(work, [this, attempt, generation = daemon.target.Generation()] {
    if (daemons_[attempt->target].target.Generation() == generation) OnWorkDone(attempt);
  });
}

void replay_simulation::OnWorkDone(std::shared_ptr<target_attempt> attempt) {
  if (attempt->ended) return;
  const hop_call& hop = *attempt->hop;
  if (hop.chain_index + 1 == RouteOf(hop).chain.size()) {
    return FinishAtTarget(std::move(attempt), true, {});
  }
  auto child = std::make_shared<hop_call>();
  child->request = hop.request;
  child->chain_index = hop.chain_index + 1;
  child->daemon = attempt->target;
  child->deadline = hop.deadline;
  child->on_complete = [this, attempt](bool ok, error_kind failure) {
    attempt->child_failed = !ok;
    FinishAtTarget(attempt, ok, failure);
  };
  attempt->child = child;
  BeginHop(std::move(child));
}

void replay_simulation::FinishAtTarget(std::shared_ptr<target_attempt> attempt, bool ok,
                                       error_kind failure) {
  if (attempt->ended) return;
  attempt->ended = true;
  attempts_at_target_.erase(attempt->call_id);
  daemon_state& daemon = daemons_[attempt->target];
  const absl::Time now = events_.Now();
  // After a failed child call the target itself gives a complete response, so this is no failure
  // of the target.
  const bool own_failure = !ok && !attempt->child_failed;
  const bool cancelled = own_failure && failure == error_kind::kCancelled;
  const bool lost = own_failure && failure == error_kind::kTargetCrashed;
  if (!lost) daemon.target.ReleaseSlot();
  const target_result result = cancelled     ? target_result::kCancelled
                               : own_failure ? target_result::kFailed
                                             : target_result::kAnswered;
  daemon.admission->Finish(attempt->call_id, result, now - attempt->started_at, now);
  const int target = attempt->target;
  if (!cancelled) {
    SendResponse(std::move(attempt), ok, failure,
                 own_failure ? attempt_result::kFailed : attempt_result::kAnswered);
  }
  PollAdmission(target);
}

void replay_simulation::SendResponse(std::shared_ptr<target_attempt> attempt, bool ok,
                                     error_kind failure, attempt_result result) {
  attempt->ended = true;
  const overload_level level = daemons_[attempt->target].admission->Level(events_.Now());
  events_.ScheduleAfter(NetworkDelay(attempt->target, attempt->hop->daemon),
                        [this, attempt, ok, failure, result, level] {
                          OnResponse(attempt, ok, failure, result, level);
                        });
}

void replay_simulation::OnResponse(std::shared_ptr<target_attempt> attempt, bool ok,
                                   error_kind failure, attempt_result result,
                                   const overload_level& level) {
  const std::shared_ptr<hop_call> hop = attempt->hop;
  const absl::Time now = events_.Now();
  routing_policy& policy = *daemons_[hop->daemon].policy;
  policy.RecordFinish(attempt->target, result, now - attempt->sent_at, level, now);
  if (hop->finished) return;
  if (ok) return CompleteHop(hop, true, {});
  // The failure of a child call is retried only at the hop where it occurred. The baselines retry
  // it at each hop.
  if (attempt->child_failed && policy_.uses_balancer) return CompleteHop(hop, false, failure);
  const auto delay = policy.RetryDelay(ServiceOf(*hop), failure, RouteOf(*hop).idempotent,
                                       hop->attempts, hop->deadline - now, now);
  if (!delay) return CompleteHop(hop, false, failure);
  events_.ScheduleAfter(*delay, [this, hop] { StartAttempt(hop); });
}

void replay_simulation::CompleteHop(std::shared_ptr<hop_call> hop, bool ok, error_kind failure) {
  if (hop->finished) return;
  hop->finished = true;
  if (!ok && policy_.cancels_abandoned_calls && hop->current_attempt != nullptr) {
    CancelAttempt(hop->current_attempt);
  }
  hop->current_attempt = nullptr;
  const auto on_complete = std::move(hop->on_complete);
  on_complete(ok, failure);
}

void replay_simulation::CancelAttempt(std::shared_ptr<target_attempt> attempt) {
  if (attempt->ended) return;
  daemon_state& daemon = daemons_[attempt->target];
  const absl::Time now = events_.Now();
  daemons_[attempt->hop->daemon].policy->RecordFinish(attempt->target, attempt_result::kCancelled,
                                                      now - attempt->sent_at, {}, now);
  const std::shared_ptr<hop_call> child = std::move(attempt->child);
  if (!attempt->started) {
    attempt->ended = true;
    attempts_at_target_.erase(attempt->call_id);
    daemon.admission->Cancel(attempt->call_id, now);
  } else {
    FinishAtTarget(attempt, false, error_kind::kCancelled);
  }
  if (child != nullptr && !child->finished) CompleteHop(child, false, error_kind::kCancelled);
}

}  // namespace

absl::Span<const replay_policy> ReplayPolicies() { return kPolicies; }

replay_report Replay(const trace& source, const replay_policy& policy) {
  return replay_simulation(source, policy).Run();
}

}  // namespace teaseljunction
