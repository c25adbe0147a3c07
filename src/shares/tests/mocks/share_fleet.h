#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "shares/share_holder.h"
#include "shares/share_owner.h"

namespace teaseljunction {

/// What a run of `share_fleet` does.
struct fleet_plan {
  account_rate account;
  int holders = 1;
  /// Requests per second of all holders together. The first holder sends `skew` times as many as
  /// each other one.
  double demand = 0;
  double skew = 1;
  /// Probability of each fault: a message is lost, a message arrives twice, a holder is suspended
  /// in a given second, the owner changes in a given second.
  double loss = 0, duplication = 0, suspension = 0, owner_change = 0;
  /// Holders' clocks run up to this part faster or slower than the owner's.
  double drift = 0;
  double seconds = 30;
};

/// Holders and owners of one client account in virtual time, which is the owner's clock.
class share_fleet {
 public:
  share_fleet(const fleet_plan& plan, uint64_t seed) : plan_(plan), random_(seed) {
    StartOwner();
    for (int i = 0; i < plan.holders; ++i) AddHolder(i);
    At(1, [this] { EachSecond(); });
  }

  void Run() {
    while (!events_.empty() && events_.begin()->first < plan_.seconds) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
  }

  /// Highest value of used - rate * window over all windows.
  double PeakExcess() const { return peak_; }
  int Used() const { return used_; }
  int Refused() const { return refused_; }
  int Syncs() const { return syncs_; }
  /// Smallest number of requests that one holder could run.
  int LeastUsed() const {
    const auto less = [](const auto& a, const auto& b) { return a->used < b->used; };
    return (*std::min_element(nodes_.begin(), nodes_.end(), less))->used;
  }

 private:
  struct node {
    share_holder holder;
    double clock_rate = 1, demand = 0, suspended_until = 0, last_sync = -1;
    int used = 0;
    std::deque<double> waiting;
  };
  static constexpr double kPatience = 0.5, kEarlySyncInterval = 0.1;

  void At(double time, std::function<void()> action) { events_.emplace(time, std::move(action)); }
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  bool Happens(double probability) { return Uniform(0, 1) < probability; }
  absl::Time OwnerTime() const { return absl::UnixEpoch() + absl::Seconds(now_); }
  absl::Time Local(const node& n) const {
    return absl::UnixEpoch() + absl::Seconds(now_ * n.clock_rate);
  }

  void StartOwner() {
    if (owner_) owner_->EndTerm();
    owner_ = std::make_shared<share_owner>();
    owner_->SetAccounts({plan_.account}, OwnerTime());
    owner_->StartTerm(OwnerTime());
  }

  void AddHolder(int index) {
    nodes_.push_back(std::make_unique<node>());
    node& n = *nodes_.back();
    n.holder.SetAccounts({plan_.account}, OwnerTime());
    n.clock_rate = 1 + Uniform(-plan_.drift, plan_.drift);
    n.demand = plan_.demand / (plan_.holders - 1 + plan_.skew) * (index == 0 ? plan_.skew : 1);
    At(Uniform(0, 1), [this, &n] { RegularSync(n); });
    At(Uniform(0, 1 / n.demand), [this, &n] { Arrive(n); });
  }

  void EachSecond() {
    if (Happens(plan_.owner_change)) StartOwner();
    for (auto& n : nodes_) {
      if (Happens(plan_.suspension)) n->suspended_until = now_ + Uniform(0.1, 3);
    }
    At(now_ + 1, [this] { EachSecond(); });
  }

  // Runs `action` once the node is not suspended.
  void Resumed(node& n, const std::function<void()>& action) {
    if (now_ >= n.suspended_until) return action();
    At(n.suspended_until, [this, &n, action] { Resumed(n, action); });
  }

  void Arrive(node& n) {
    Resumed(n, [this, &n] {
      if (!Take(n)) {
        n.holder.AddWaiting(plan_.account.client_account);
        n.waiting.push_back(now_);
        EarlySync(n);
      }
      At(now_ + std::exponential_distribution<double>(n.demand)(random_),
         [this, &n] { Arrive(n); });
    });
  }

  bool Take(node& n) {
    if (!n.holder.TryTake(plan_.account.client_account, Local(n))) return false;
    level_ = std::max(0.0, level_ - (now_ - last_use_) * plan_.account.rate) + 1;
    peak_ = std::max(peak_, level_);
    last_use_ = now_;
    ++used_;
    ++n.used;
    return true;
  }

  void ServeWaiting(node& n) {
    while (!n.waiting.empty()) {
      const bool refused = now_ - n.waiting.front() > kPatience;
      if (!refused && !Take(n)) return;
      refused_ += refused ? 1 : 0;
      n.holder.RemoveWaiting(plan_.account.client_account);
      n.waiting.pop_front();
    }
  }

  void RegularSync(node& n) {
    Resumed(n, [this, &n] {
      ServeWaiting(n);
      Sync(n);
    });
    At(now_ + 1, [this, &n] { RegularSync(n); });
  }

  void EarlySync(node& n) {
    if (!n.holder.Urgent(Local(n))) return;
    if (now_ - n.last_sync >= kEarlySyncInterval) return Sync(n);
    At(n.last_sync + kEarlySyncInterval + 0.001, [this, &n] { EarlySync(n); });
  }

  void Sync(node& n) {
    n.last_sync = now_;
    ++syncs_;
    const absl::Time sent = Local(n);
    const auto demands = n.holder.CollectDemands(sent);
    const auto deliver = [this, &n, sent, demands, owner = owner_] {
      std::vector<token_grant> grants;
      for (const token_demand& demand : demands) {
        grants.push_back(owner->Demand(demand, OwnerTime()));
      }
      Send([this, &n, sent, grants] {
        Resumed(n, [this, &n, sent, grants] {
          n.holder.ApplyGrants(grants, sent, Local(n));
          ServeWaiting(n);
          EarlySync(n);
        });
      });
    };
    Send(deliver);
  }

  void Send(const std::function<void()>& message) {
    if (Happens(plan_.loss)) return;
    At(now_ + Uniform(0.0005, 0.01), message);
    if (Happens(plan_.duplication)) At(now_ + Uniform(0.001, 2), message);
  }

  fleet_plan plan_;
  std::mt19937_64 random_;
  double now_ = 0, last_use_ = 0, level_ = 0, peak_ = 0;
  int used_ = 0, refused_ = 0, syncs_ = 0;
  std::shared_ptr<share_owner> owner_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::multimap<double, std::function<void()>> events_;
};

}  // namespace teaseljunction
