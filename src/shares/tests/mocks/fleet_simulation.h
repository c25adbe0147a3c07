#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "shares/token_allocator.h"
#include "shares/token_cache.h"

namespace teaseljunction {

/// Settings of a `fleet_simulation`.
struct simulation_settings {
  account_rate account;
  int daemon_count = 1;
  /// Requests per second at all daemons together. The first daemon receives `skew` times as many as
  /// each other one.
  double demand = 0;
  double skew = 1;
  /// Probability of each fault: a message is lost, a message is duplicated, a daemon is suspended
  /// in a given second, the allocator is replaced in a given second.
  double loss = 0, duplication = 0, suspension = 0, allocator_change = 0;
  /// The daemons' clocks run faster or slower than the allocator's by up to this fraction.
  double drift = 0;
  double seconds = 30;
};

/// Simulates the daemons and the allocators of one client account in virtual time, which is the
/// allocator's clock.
class fleet_simulation {
 public:
  fleet_simulation(const simulation_settings& settings, uint64_t seed)
      : settings_(settings), random_(seed) {
    StartAllocator();
    for (int i = 0; i < settings.daemon_count; ++i) AddDaemon(i);
    Schedule(1, [this] { InjectFaults(); });
  }

  void Run() {
    while (!events_.empty() && events_.begin()->first < settings_.seconds) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
  }

  /// Returns the highest value of used - rate * window over all windows.
  double PeakExcess() const { return peak_excess_; }
  int Used() const { return used_; }
  int Refused() const { return refused_; }
  int Syncs() const { return syncs_; }
  /// Returns the smallest number of requests that one daemon could run.
  int MinUsed() const {
    const auto less = [](const auto& a, const auto& b) { return a->used < b->used; };
    return (*std::min_element(daemons_.begin(), daemons_.end(), less))->used;
  }

 private:
  struct simulated_daemon {
    token_cache cache;
    double clock_rate = 1, demand = 0, suspended_until = 0, last_sync = -1;
    int used = 0;
    std::deque<double> waiting;
  };
  static constexpr double kMaxWait = 0.5, kEarlySyncInterval = 0.1;

  void Schedule(double time, std::function<void()> action) {
    events_.emplace(time, std::move(action));
  }
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  bool Happens(double probability) { return Uniform(0, 1) < probability; }
  absl::Time AllocatorTime() const { return absl::UnixEpoch() + absl::Seconds(now_); }
  absl::Time DaemonTime(const simulated_daemon& daemon) const {
    return absl::UnixEpoch() + absl::Seconds(now_ * daemon.clock_rate);
  }

  void StartAllocator() {
    if (allocator_) allocator_->EndTerm();
    allocator_ = std::make_shared<token_allocator>();
    allocator_->SetAccounts({settings_.account}, AllocatorTime());
    allocator_->StartTerm(AllocatorTime());
  }

  void AddDaemon(int index) {
    daemons_.push_back(std::make_unique<simulated_daemon>());
    simulated_daemon& daemon = *daemons_.back();
    daemon.cache.SetAccounts({settings_.account}, AllocatorTime());
    daemon.clock_rate = 1 + Uniform(-settings_.drift, settings_.drift);
    daemon.demand = settings_.demand / (settings_.daemon_count - 1 + settings_.skew) *
                    (index == 0 ? settings_.skew : 1);
    Schedule(Uniform(0, 1), [this, &daemon] { RegularSync(daemon); });
    Schedule(Uniform(0, 1 / daemon.demand), [this, &daemon] { OnRequest(daemon); });
  }

  void InjectFaults() {
    if (Happens(settings_.allocator_change)) StartAllocator();
    for (auto& daemon : daemons_) {
      if (Happens(settings_.suspension)) daemon->suspended_until = now_ + Uniform(0.1, 3);
    }
    Schedule(now_ + 1, [this] { InjectFaults(); });
  }

  // Runs `action` once the daemon is not suspended.
  void RunWhenResumed(simulated_daemon& daemon, const std::function<void()>& action) {
    if (now_ >= daemon.suspended_until) return action();
    Schedule(daemon.suspended_until, [this, &daemon, action] { RunWhenResumed(daemon, action); });
  }

  void OnRequest(simulated_daemon& daemon) {
    RunWhenResumed(daemon, [this, &daemon] {
      if (!Take(daemon)) {
        daemon.cache.AddWaiting(settings_.account.client_account);
        daemon.waiting.push_back(now_);
        EarlySync(daemon);
      }
      Schedule(now_ + std::exponential_distribution<double>(daemon.demand)(random_),
               [this, &daemon] { OnRequest(daemon); });
    });
  }

  bool Take(simulated_daemon& daemon) {
    if (!daemon.cache.TryTake(settings_.account.client_account, DaemonTime(daemon))) return false;
    excess_ = std::max(0.0, excess_ - (now_ - last_use_at_) * settings_.account.rate) + 1;
    peak_excess_ = std::max(peak_excess_, excess_);
    last_use_at_ = now_;
    ++used_;
    ++daemon.used;
    return true;
  }

  void ServeWaiting(simulated_daemon& daemon) {
    while (!daemon.waiting.empty()) {
      const bool refused = now_ - daemon.waiting.front() > kMaxWait;
      if (!refused && !Take(daemon)) return;
      refused_ += refused ? 1 : 0;
      daemon.cache.RemoveWaiting(settings_.account.client_account);
      daemon.waiting.pop_front();
    }
  }

  void RegularSync(simulated_daemon& daemon) {
    RunWhenResumed(daemon, [this, &daemon] {
      ServeWaiting(daemon);
      Sync(daemon);
    });
    Schedule(now_ + 1, [this, &daemon] { RegularSync(daemon); });
  }

  void EarlySync(simulated_daemon& daemon) {
    if (!daemon.cache.NeedsEarlySync(DaemonTime(daemon))) return;
    if (now_ - daemon.last_sync >= kEarlySyncInterval) return Sync(daemon);
    Schedule(daemon.last_sync + kEarlySyncInterval + 0.001, [this, &daemon] { EarlySync(daemon); });
  }

  void Sync(simulated_daemon& daemon) {
    daemon.last_sync = now_;
    ++syncs_;
    const absl::Time sent = DaemonTime(daemon);
    const auto demands = daemon.cache.CollectDemands(sent);
    const auto deliver = [this, &daemon, sent, demands, allocator = allocator_] {
      std::vector<token_grant> grants;
      for (const token_demand& demand : demands) {
        grants.push_back(allocator->Grant(demand, AllocatorTime()));
      }
      Send([this, &daemon, sent, grants] {
        RunWhenResumed(daemon, [this, &daemon, sent, grants] {
          daemon.cache.ApplyGrants(grants, sent, DaemonTime(daemon));
          ServeWaiting(daemon);
          EarlySync(daemon);
        });
      });
    };
    Send(deliver);
  }

  void Send(const std::function<void()>& message) {
    if (Happens(settings_.loss)) return;
    Schedule(now_ + Uniform(0.0005, 0.01), message);
    if (Happens(settings_.duplication)) Schedule(now_ + Uniform(0.001, 2), message);
  }

  simulation_settings settings_;
  std::mt19937_64 random_;
  double now_ = 0, last_use_at_ = 0, excess_ = 0, peak_excess_ = 0;
  int used_ = 0, refused_ = 0, syncs_ = 0;
  std::shared_ptr<token_allocator> allocator_;
  std::vector<std::unique_ptr<simulated_daemon>> daemons_;
  std::multimap<double, std::function<void()>> events_;
};

}  // namespace teaseljunction
