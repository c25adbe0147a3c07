#include "gateway/account_limiter.h"

#include <algorithm>
#include <utility>

#include "absl/hash/hash.h"

namespace teaseljunction {

account_limiter::account_limiter(const clock_source& clock, scheduler& timers,
                                 absl::Duration max_wait, absl::AnyInvocable<void()> request_sync)
    : clock_(clock), timers_(timers), max_wait_(max_wait), request_sync_(std::move(request_sync)) {}

size_t account_limiter::ShardIndex(absl::string_view client_account) {
  return absl::HashOf(client_account) % kShardCount;
}

account_limiter::shard& account_limiter::ShardOf(absl::string_view client_account) {
  return shards_[ShardIndex(client_account)];
}

void account_limiter::SetAccounts(absl::Span<const account_rate> accounts) {
  const absl::Time now = clock_.Now();
  std::array<std::vector<account_rate>, kShardCount> per_shard;
  for (const account_rate& account : accounts) {
    per_shard[ShardIndex(account.client_account)].push_back(account);
  }
  for (size_t i = 0; i < kShardCount; ++i) {
    absl::MutexLock lock(&shards_[i].mutex);
    shards_[i].holder.SetAccounts(per_shard[i], now);
  }
}

void account_limiter::Acquire(absl::string_view client_account, completion done) {
  shard& owner = ShardOf(client_account);
  uint64_t waiter_id = 0;
  bool urgent = false;
  std::vector<finished_wait> finished;
  bool waits = false;
  {
    absl::MutexLock lock(&owner.mutex);
    const absl::Time now = clock_.Now();
    auto& queue = owner.waiting[client_account];
    // Requests that wait already come first.
    if (queue.empty() && owner.holder.TryTake(client_account, now)) {
      finished.push_back({std::move(done), {.granted = true, .retry_after = {}}});
    } else {
      waiter_id = ++owner.next_waiter_id;
      queue.push_back({waiter_id, std::move(done)});
      owner.holder.AddWaiting(client_account);
      TakeReady(owner, client_account, &share_holder::TakeStanding, now, finished);
      waits = !queue.empty();
    }
    urgent = owner.holder.Urgent(now);
  }
  if (urgent) request_sync_();
  for (finished_wait& wait : finished) wait.done(wait.outcome);
  if (!waits) return;
  timers_.RunAt(clock_.Now() + max_wait_, [this, &owner, account = std::string(client_account),
                                           waiter_id] { Expire(owner, account, waiter_id); });
}

void account_limiter::SetOwnerLost(bool lost) {
  std::vector<finished_wait> finished;
  for (shard& owner : shards_) {
    absl::MutexLock lock(&owner.mutex);
    if (!lost) {
      owner.holder.OwnerFound();
      continue;
    }
    const absl::Time now = clock_.Now();
    owner.holder.OwnerLost(now);
    for (const auto& [account, queue] : owner.waiting) {
      if (!queue.empty()) {
        TakeReady(owner, account, &share_holder::TakeStanding, now, finished);
      }
    }
  }
  for (finished_wait& wait : finished) wait.done(wait.outcome);
}

void account_limiter::Expire(shard& owner, const std::string& client_account, uint64_t waiter_id) {
  completion done;
  token_result refused;
  {
    absl::MutexLock lock(&owner.mutex);
    auto& queue = owner.waiting[client_account];
    const auto found = std::find_if(queue.begin(), queue.end(),
                                    [&](const waiter& entry) { return entry.id == waiter_id; });
    if (found == queue.end()) return;
    done = std::move(found->done);
    queue.erase(found);
    owner.holder.RemoveWaiting(client_account);
    refused.retry_after = owner.holder.RetryAfter(client_account, clock_.Now());
  }
  done(refused);
}

std::vector<token_demand> account_limiter::CollectDemands() {
  std::vector<token_demand> demands;
  const absl::Time now = clock_.Now();
  for (shard& owner : shards_) {
    absl::MutexLock lock(&owner.mutex);
    for (token_demand& demand : owner.holder.CollectDemands(now)) {
      demands.push_back(std::move(demand));
    }
  }
  return demands;
}

void account_limiter::TakeReady(shard& owner, absl::string_view account, take_function take,
                                absl::Time now, std::vector<finished_wait>& finished) {
  auto& queue = owner.waiting[account];
  while (!queue.empty() && (owner.holder.*take)(account, now)) {
    owner.holder.RemoveWaiting(account);
    finished.push_back({std::move(queue.front().done), {.granted = true, .retry_after = {}}});
    queue.pop_front();
  }
}

void account_limiter::ApplyGrants(absl::Span<const token_grant> grants,
                                  absl::Time request_sent_at) {
  // A holder takes the grants of one response in one call and ignores repeated responses.
  std::array<std::vector<token_grant>, kShardCount> per_shard;
  for (const token_grant& grant : grants) {
    per_shard[ShardIndex(grant.client_account)].push_back(grant);
  }
  std::vector<finished_wait> finished;
  bool urgent = false;
  for (size_t i = 0; i < kShardCount; ++i) {
    if (per_shard[i].empty()) continue;
    shard& owner = shards_[i];
    absl::MutexLock lock(&owner.mutex);
    const absl::Time now = clock_.Now();
    owner.holder.ApplyGrants(per_shard[i], request_sent_at, now);
    for (const token_grant& grant : per_shard[i]) {
      TakeReady(owner, grant.client_account, &share_holder::TryTake, now, finished);
    }
    // What the grants did not cover needs another sync.
    urgent = urgent || owner.holder.Urgent(now);
  }
  if (urgent) request_sync_();
  for (finished_wait& wait : finished) wait.done(wait.outcome);
}

}  // namespace teaseljunction
