#include "bench/replay.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "bench/replay_parts.h"
#include "bench/replay_score.h"
#include "shares/share_holder.h"
#include "shares/share_owner.h"

namespace teaseljunction {
namespace {

constexpr replay_policy kPolicies[] = {
    {"teaseljunction", replay_policy::gate_kind::kAdaptive, true, 0, true},
    {"fixed-limit", replay_policy::gate_kind::kFixed, false, 3, false},
    {"none", replay_policy::gate_kind::kOpen, false, 0, false},
};

constexpr absl::Duration kLocalDelay = absl::Microseconds(100);
constexpr absl::Duration kFastFailure = absl::Milliseconds(1);
constexpr absl::Duration kSyncInterval = absl::Seconds(1);
constexpr absl::Duration kMinSyncInterval = absl::Milliseconds(100);
constexpr absl::Duration kTokenWait = absl::Milliseconds(300);
constexpr absl::Duration kCallerRetryDelay = absl::Milliseconds(20);
// Time for which a restarted target accepts no call.
constexpr absl::Duration kDownTime = absl::Seconds(1);

// A request of a caller, with its own repeats.
struct user_request {
  size_t route = 0;
  size_t account = 0;
  uint64_t id = 0;
  absl::Time arrival;
  int repeats_left = 0;
  int attempts = 0;
};

struct attempt_state;

// A call at one hop: one or more attempts at targets of one service.
struct hop_state {
  std::shared_ptr<user_request> request;
  size_t step = 0;
  int daemon = 0;
  absl::Time deadline;
  uint32_t attempts = 0;
  bool finished = false;
  std::vector<std::string> tried;
  std::shared_ptr<attempt_state> current;
  std::function<void(bool ok, error_kind failure)> done;
};

struct attempt_state {
  std::shared_ptr<hop_state> hop;
  int target = 0;
  uint64_t call_id = 0;
  absl::Time sent_at;
  absl::Time started_at;
  bool started = false;
  bool ended = false;
  // True when the response is an error because a child call failed.
  bool child_failed = false;
  std::shared_ptr<hop_state> child;
};

class replay_engine {
 public:
  replay_engine(const trace& source, const replay_policy& policy)
      : trace_(source), policy_(policy), random_(source.seed), score_(source) {}

  replay_report Run();

 private:
  struct daemon_state {
    size_t service = 0;
    int data_centre = 0;
    std::unique_ptr<target_gate> gate;
    std::unique_ptr<hop_policy> policy;
    fake_target target{1};
    absl::Time down_until = absl::InfinitePast();
    absl::Time armed_for = absl::InfiniteFuture();
    share_holder shares;
    absl::Time last_sync = absl::InfinitePast();
    bool sync_scheduled = false;
    std::deque<std::pair<std::shared_ptr<hop_state>, uint64_t>> waiting;
  };

  void BuildDaemons();
  void ScheduleEvents();
  void ScheduleArrival();
  double LoadAt(absl::Duration elapsed) const;
  double AccountFactor(size_t account, absl::Duration elapsed) const;
  bool Away(int data_centre) const;
  bool Active(const trace_event& event) const;
  absl::Duration Elapsed() const { return events_.Now() - start_; }
  absl::Duration Delay(int from, int to) const;

  void Arrive();
  void Enter(std::shared_ptr<user_request> request);
  void OnEntryDone(std::shared_ptr<user_request> request, bool ok);
  void TakeToken(std::shared_ptr<hop_state> hop);
  void ScheduleSync(int daemon);
  void Sync(int daemon);
  void BeginHop(std::shared_ptr<hop_state> hop);
  void Dispatch(std::shared_ptr<hop_state> hop);
  void ArriveAtTarget(std::shared_ptr<attempt_state> attempt);
  void Apply(const admission_decision& decision);
  void Poll(int daemon);
  void StartAtTarget(std::shared_ptr<attempt_state> attempt);
  void Work(std::shared_ptr<attempt_state> attempt);
  void AfterWork(std::shared_ptr<attempt_state> attempt);
  void EndAtTarget(std::shared_ptr<attempt_state> attempt, bool ok, error_kind failure);
  void Respond(std::shared_ptr<attempt_state> attempt, bool ok, error_kind failure,
               attempt_result result);
  void OnResponse(std::shared_ptr<attempt_state> attempt, bool ok, error_kind failure,
                  attempt_result result, const overload_level& level);
  void Complete(std::shared_ptr<hop_state> hop, bool ok, error_kind failure);
  void Cancel(std::shared_ptr<attempt_state> attempt);

  const trace_route& RouteOf(const hop_state& hop) const {
    return trace_.routes[hop.request->route];
  }
  const std::string& ServiceOf(const hop_state& hop) const { return RouteOf(hop).chain[hop.step]; }
  uint8_t CohortOfHop(const hop_state& hop) const {
    return CohortOf(trace_.accounts[hop.request->account].name, absl::StrCat(hop.request->id));
  }

  const trace& trace_;
  const replay_policy& policy_;
  replay_random random_;
  event_queue events_;
  const absl::Time start_ = events_.Now();
  replay_score score_;
  std::deque<daemon_state> daemons_;
  share_owner owner_;
  std::unordered_map<uint64_t, std::shared_ptr<attempt_state>> at_target_;
  uint64_t next_id_ = 0;
};

replay_report replay_engine::Run() {
  BuildDaemons();
  ScheduleEvents();
  ScheduleArrival();
  events_.RunUntil(start_ + trace_.duration);
  replay_report report = score_.Report();
  report.trace = trace_.name;
  report.policy = absl::StrCat(policy_.name);
  return report;
}

void replay_engine::BuildDaemons() {
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
  owner_.SetAccounts(rates, now);
  owner_.StartTerm(now);
  size_t next = 0;
  for (size_t service = 0; service < trace_.services.size(); ++service) {
    for (int i = 0; i < trace_.services[service].targets; ++i, ++next) {
      daemon_state& daemon = daemons_.emplace_back();
      daemon.service = service;
      daemon.data_centre = i % trace_.data_centres;
      daemon.target = fake_target(trace_.services[service].slots);
      daemon.gate = MakeGate(policy_, trace_.services[service].slots, now);
      daemon.policy = MakeHopPolicy(policy_, absl::StrCat(next),
                                    absl::StrCat("dc", daemon.data_centre), targets, random_, now);
      daemon.shares.SetAccounts(rates, now);
      ScheduleSync(static_cast<int>(next));
    }
  }
}

void replay_engine::ScheduleEvents() {
  for (const trace_event& event : trace_.events) {
    if (event.kind != "restart") continue;
    events_.At(start_ + event.begin, [this, &event] {
      const absl::Time now = events_.Now();
      for (size_t i = 0; i < daemons_.size(); ++i) {
        daemon_state& daemon = daemons_[i];
        if (trace_.services[daemon.service].name != event.name) continue;
        std::vector<std::shared_ptr<attempt_state>> lost;
        for (const auto& [id, attempt] : at_target_) {
          if (attempt->target == static_cast<int>(i) && attempt->started) lost.push_back(attempt);
        }
        daemon.target.Restart(now);
        daemon.down_until = now + kDownTime;
        for (const auto& attempt : lost) {
          EndAtTarget(attempt, false, error_kind::kTargetCrashed);
        }
        daemon.gate->Restart(now);
      }
    });
  }
}

bool replay_engine::Active(const trace_event& event) const {
  const absl::Duration elapsed = Elapsed();
  return elapsed >= event.begin && elapsed < event.end;
}

double replay_engine::LoadAt(absl::Duration elapsed) const {
  const bool peak = elapsed >= trace_.peak_begin && elapsed < trace_.peak_end;
  return peak ? trace_.peak_load : trace_.base_load;
}

double replay_engine::AccountFactor(size_t account, absl::Duration) const {
  for (const trace_event& event : trace_.events) {
    if (event.kind == "account_load" && event.name == trace_.accounts[account].name &&
        Active(event)) {
      return event.value;
    }
  }
  return 1;
}

bool replay_engine::Away(int data_centre) const {
  for (const trace_event& event : trace_.events) {
    if (event.kind == "away" && event.target == data_centre && Active(event)) return true;
  }
  return false;
}

absl::Duration replay_engine::Delay(int from, int to) const {
  if (from == to) return absl::ZeroDuration();
  return daemons_[from].data_centre == daemons_[to].data_centre ? kLocalDelay
                                                                : trace_.data_centre_delay;
}

void replay_engine::ScheduleArrival() {
  double weight = 0;
  for (size_t i = 0; i < trace_.accounts.size(); ++i) {
    weight += trace_.accounts[i].share * AccountFactor(i, Elapsed());
  }
  const double rate = CapacityOf(trace_) * LoadAt(Elapsed()) * weight;
  const double gap = -std::log(1 - random_.Fraction()) / rate;
  events_.After(absl::Seconds(gap), [this] {
    Arrive();
    ScheduleArrival();
  });
}

void replay_engine::Arrive() {
  auto request = std::make_shared<user_request>();
  double pick = random_.Fraction();
  for (request->route = 0; request->route + 1 < trace_.routes.size(); ++request->route) {
    pick -= trace_.routes[request->route].share;
    if (pick < 0) break;
  }
  double total = 0;
  for (size_t i = 0; i < trace_.accounts.size(); ++i) {
    total += trace_.accounts[i].share * AccountFactor(i, Elapsed());
  }
  pick = random_.Fraction() * total;
  for (request->account = 0; request->account + 1 < trace_.accounts.size(); ++request->account) {
    pick -= trace_.accounts[request->account].share * AccountFactor(request->account, Elapsed());
    if (pick < 0) break;
  }
  request->id = ++next_id_;
  request->arrival = events_.Now();
  request->repeats_left = trace_.caller_retries;
  score_.RecordArrival(request->route, request->account, Elapsed());
  Enter(std::move(request));
}

void replay_engine::Enter(std::shared_ptr<user_request> request) {
  auto hop = std::make_shared<hop_state>();
  do {
    hop->daemon = static_cast<int>(random_.Below(daemons_.size()));
  } while (Away(daemons_[hop->daemon].data_centre));
  hop->deadline = events_.Now() + trace_.routes[request->route].timeout;
  hop->request = request;
  hop->done = [this, request](bool ok, error_kind failure) {
    if (!ok) score_.RecordFailure(request->route, failure);
    events_.After(trace_.caller_delay, [this, request, ok] { OnEntryDone(request, ok); });
  };
  events_.After(trace_.caller_delay, [this, hop] {
    if (policy_.balanced) {
      TakeToken(hop);
    } else {
      BeginHop(hop);
    }
  });
}

void replay_engine::OnEntryDone(std::shared_ptr<user_request> request, bool ok) {
  if (!ok && request->repeats_left > 0) {
    --request->repeats_left;
    events_.After(kCallerRetryDelay, [this, request] { Enter(request); });
    return;
  }
  score_.RecordEnd(request->route, request->account, request->arrival - start_, ok,
                   request->attempts);
}

void replay_engine::TakeToken(std::shared_ptr<hop_state> hop) {
  daemon_state& daemon = daemons_[hop->daemon];
  const std::string& account = trace_.accounts[hop->request->account].name;
  const absl::Time now = events_.Now();
  if (daemon.shares.TryTake(account, now)) return BeginHop(std::move(hop));
  daemon.shares.AddWaiting(account);
  const uint64_t id = ++next_id_;
  daemon.waiting.emplace_back(hop, id);
  ScheduleSync(hop->daemon);
  events_.After(kTokenWait, [this, hop, id] {
    daemon_state& owner = daemons_[hop->daemon];
    const auto found = std::find_if(owner.waiting.begin(), owner.waiting.end(),
                                    [id](const auto& entry) { return entry.second == id; });
    if (found == owner.waiting.end()) return;
    owner.waiting.erase(found);
    owner.shares.RemoveWaiting(trace_.accounts[hop->request->account].name);
    Complete(hop, false, error_kind::kRateExceeded);
  });
}

void replay_engine::ScheduleSync(int daemon) {
  daemon_state& own = daemons_[daemon];
  if (own.sync_scheduled) return;
  own.sync_scheduled = true;
  events_.At(own.last_sync + kMinSyncInterval, [this, daemon] { Sync(daemon); });
}

void replay_engine::Sync(int daemon) {
  daemon_state& own = daemons_[daemon];
  const absl::Time sent = events_.Now();
  own.last_sync = sent;
  own.sync_scheduled = false;
  auto demands = own.shares.CollectDemands(sent);
  events_.After(trace_.data_centre_delay, [this, daemon, sent, demands = std::move(demands)] {
    std::vector<token_grant> grants;
    for (const token_demand& demand : demands) {
      grants.push_back(owner_.Demand(demand, events_.Now()));
    }
    events_.After(trace_.data_centre_delay, [this, daemon, sent, grants = std::move(grants)] {
      daemon_state& holder = daemons_[daemon];
      holder.shares.ApplyGrants(grants, sent, events_.Now());
      std::deque<std::pair<std::shared_ptr<hop_state>, uint64_t>> still_waiting;
      for (auto& [hop, id] : std::exchange(holder.waiting, {})) {
        const std::string& account = trace_.accounts[hop->request->account].name;
        if (holder.shares.TryTake(account, events_.Now())) {
          holder.shares.RemoveWaiting(account);
          BeginHop(hop);
        } else {
          still_waiting.emplace_back(hop, id);
        }
      }
      holder.waiting = std::move(still_waiting);
      if (!holder.waiting.empty() || holder.shares.Urgent(events_.Now())) ScheduleSync(daemon);
    });
  });
  events_.After(kSyncInterval, [this, daemon] {
    if (events_.Now() - daemons_[daemon].last_sync >= kSyncInterval) ScheduleSync(daemon);
  });
}

void replay_engine::BeginHop(std::shared_ptr<hop_state> hop) {
  if (hop->finished) return;
  const trace_route& route = RouteOf(*hop);
  if (!daemons_[hop->daemon].policy->Admits(ServiceOf(*hop), route.priority, CohortOfHop(*hop),
                                            events_.Now())) {
    return Complete(std::move(hop), false, error_kind::kOverloaded);
  }
  events_.At(hop->deadline, [this, hop] {
    if (!hop->finished) Complete(hop, false, error_kind::kDeadlineExceeded);
  });
  daemons_[hop->daemon].policy->FirstAttempt(ServiceOf(*hop), events_.Now());
  Dispatch(std::move(hop));
}

void replay_engine::Dispatch(std::shared_ptr<hop_state> hop) {
  if (hop->finished) return;
  hop_policy& policy = *daemons_[hop->daemon].policy;
  const auto target = policy.Choose(ServiceOf(*hop), RouteOf(*hop).priority, CohortOfHop(*hop),
                                    hop->tried, events_.Now());
  if (!target) return Complete(std::move(hop), false, error_kind::kNoTarget);
  auto attempt = std::make_shared<attempt_state>();
  attempt->hop = hop;
  attempt->target = *target;
  attempt->call_id = ++next_id_;
  attempt->sent_at = events_.Now();
  hop->current = attempt;
  ++hop->attempts;
  ++hop->request->attempts;
  hop->tried.push_back(absl::StrCat(*target));
  policy.Started(*target, events_.Now());
  events_.After(Delay(hop->daemon, *target), [this, attempt] { ArriveAtTarget(attempt); });
}

void replay_engine::ArriveAtTarget(std::shared_ptr<attempt_state> attempt) {
  daemon_state& daemon = daemons_[attempt->target];
  if (Away(daemon.data_centre) || events_.Now() < daemon.down_until) {
    return Respond(std::move(attempt), false, error_kind::kTargetUnreachable,
                   attempt_result::kFailed);
  }
  const hop_state& hop = *attempt->hop;
  at_target_[attempt->call_id] = attempt;
  Apply(daemon.gate->Arrive({.call_id = attempt->call_id,
                             .priority = RouteOf(hop).priority,
                             .cohort = CohortOfHop(hop),
                             .depth = static_cast<uint32_t>(hop.step),
                             .client_account = trace_.accounts[hop.request->account].name,
                             .bytes = 1024,
                             .deadline = hop.deadline},
                            events_.Now()));
  Poll(attempt->target);
}

void replay_engine::Apply(const admission_decision& decision) {
  const auto found = at_target_.find(decision.call_id);
  if (found == at_target_.end() || decision.verdict == admission_verdict::kQueued) return;
  const std::shared_ptr<attempt_state> attempt = found->second;
  if (decision.verdict == admission_verdict::kStart) return StartAtTarget(attempt);
  at_target_.erase(found);
  Respond(attempt, false, decision.reason, attempt_result::kRefused);
}

void replay_engine::Poll(int daemon) {
  daemon_state& own = daemons_[daemon];
  for (const admission_decision& decision : own.gate->Poll(events_.Now())) {
    Apply(decision);
  }
  const absl::Time next = own.gate->NextPoll(events_.Now());
  if (next == absl::InfiniteFuture() || next >= own.armed_for) return;
  own.armed_for = next;
  events_.At(next, [this, daemon] {
    daemons_[daemon].armed_for = absl::InfiniteFuture();
    Poll(daemon);
  });
}

void replay_engine::StartAtTarget(std::shared_ptr<attempt_state> attempt) {
  attempt->started = true;
  attempt->started_at = events_.Now();
  daemons_[attempt->target].target.Begin([this, attempt] { Work(attempt); });
}

void replay_engine::Work(std::shared_ptr<attempt_state> attempt) {
  const daemon_state& daemon = daemons_[attempt->target];
  const trace_service& service = trace_.services[daemon.service];
  absl::Duration work = service.work * daemon.target.ColdFactor(events_.Now());
  // Uniform around the mean.
  work *= 0.5 + random_.Fraction();
  int number_in_service = 0;
  for (int i = 0; i < attempt->target; ++i) {
    if (daemons_[i].service == daemon.service) ++number_in_service;
  }
  for (const trace_event& event : trace_.events) {
    if (event.name != service.name || !Active(event)) continue;
    if (event.kind == "slow") work *= event.value;
    if (event.kind == "fail_fast" && event.target == number_in_service) {
      events_.After(kFastFailure,
                    [this, attempt] { EndAtTarget(attempt, false, error_kind::kTargetFailed); });
      return;
    }
  }
  events_.After(work, [this, attempt, generation = daemon.target.Generation()] {
    if (daemons_[attempt->target].target.Generation() == generation) AfterWork(attempt);
  });
}

void replay_engine::AfterWork(std::shared_ptr<attempt_state> attempt) {
  if (attempt->ended) return;
  const hop_state& hop = *attempt->hop;
  if (hop.step + 1 == RouteOf(hop).chain.size()) {
    return EndAtTarget(std::move(attempt), true, {});
  }
  auto child = std::make_shared<hop_state>();
  child->request = hop.request;
  child->step = hop.step + 1;
  child->daemon = attempt->target;
  child->deadline = hop.deadline;
  child->done = [this, attempt](bool ok, error_kind failure) {
    attempt->child_failed = !ok;
    EndAtTarget(attempt, ok, failure);
  };
  attempt->child = child;
  BeginHop(std::move(child));
}

void replay_engine::EndAtTarget(std::shared_ptr<attempt_state> attempt, bool ok,
                                error_kind failure) {
  if (attempt->ended) return;
  attempt->ended = true;
  at_target_.erase(attempt->call_id);
  daemon_state& daemon = daemons_[attempt->target];
  const absl::Time now = events_.Now();
  // A failed child call leaves the target with a whole answer.
  const bool own_failure = !ok && !attempt->child_failed;
  const bool cancelled = own_failure && failure == error_kind::kCancelled;
  const bool lost = own_failure && failure == error_kind::kTargetCrashed;
  if (!lost) daemon.target.End();
  const target_result result = cancelled     ? target_result::kCancelled
                               : own_failure ? target_result::kFailed
                                             : target_result::kAnswered;
  daemon.gate->Finish(attempt->call_id, result, now - attempt->started_at, now);
  const int target = attempt->target;
  if (!cancelled) {
    Respond(std::move(attempt), ok, failure,
            own_failure ? attempt_result::kFailed : attempt_result::kAnswered);
  }
  Poll(target);
}

void replay_engine::Respond(std::shared_ptr<attempt_state> attempt, bool ok, error_kind failure,
                            attempt_result result) {
  attempt->ended = true;
  const overload_level level = daemons_[attempt->target].gate->Level(events_.Now());
  events_.After(Delay(attempt->target, attempt->hop->daemon),
                [this, attempt, ok, failure, result, level] {
                  OnResponse(attempt, ok, failure, result, level);
                });
}

void replay_engine::OnResponse(std::shared_ptr<attempt_state> attempt, bool ok, error_kind failure,
                               attempt_result result, const overload_level& level) {
  const std::shared_ptr<hop_state> hop = attempt->hop;
  const absl::Time now = events_.Now();
  hop_policy& policy = *daemons_[hop->daemon].policy;
  policy.Finished(attempt->target, result, now - attempt->sent_at, level, now);
  if (hop->finished) return;
  if (ok) return Complete(hop, true, {});
  // The failure of a child call is not retried by the layers above it, except by the baseline.
  if (attempt->child_failed && policy_.balanced) return Complete(hop, false, failure);
  const auto delay = policy.Retry(ServiceOf(*hop), failure, RouteOf(*hop).idempotent, hop->attempts,
                                  hop->deadline - now, now);
  if (!delay) return Complete(hop, false, failure);
  events_.After(*delay, [this, hop] { Dispatch(hop); });
}

void replay_engine::Complete(std::shared_ptr<hop_state> hop, bool ok, error_kind failure) {
  if (hop->finished) return;
  hop->finished = true;
  if (!ok && policy_.cancels && hop->current != nullptr) Cancel(hop->current);
  hop->current = nullptr;
  const auto done = std::move(hop->done);
  done(ok, failure);
}

void replay_engine::Cancel(std::shared_ptr<attempt_state> attempt) {
  if (attempt->ended) return;
  daemon_state& daemon = daemons_[attempt->target];
  const absl::Time now = events_.Now();
  daemons_[attempt->hop->daemon].policy->Finished(attempt->target, attempt_result::kCancelled,
                                                  now - attempt->sent_at, {}, now);
  const std::shared_ptr<hop_state> child = std::move(attempt->child);
  if (!attempt->started) {
    attempt->ended = true;
    at_target_.erase(attempt->call_id);
    daemon.gate->Cancel(attempt->call_id, now);
  } else {
    EndAtTarget(attempt, false, error_kind::kCancelled);
  }
  if (child != nullptr && !child->finished) Complete(child, false, error_kind::kCancelled);
}

}  // namespace

absl::Span<const replay_policy> ReplayPolicies() { return kPolicies; }

replay_report Replay(const trace& source, const replay_policy& policy) {
  return replay_engine(source, policy).Run();
}

}  // namespace teaseljunction
