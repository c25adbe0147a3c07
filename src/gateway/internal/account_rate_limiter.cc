#include "gateway/account_rate_limiter.h"

#include <algorithm>
#include <utility>

#include "absl/hash/hash.h"

namespace teaseljunction {

account_rate_limiter::account_rate_limiter(const clock_source& clock, scheduler& timers,
                                           absl::Duration max_wait,
                                           absl::AnyInvocable<void()> request_sync)
    : clock_(clock), timers_(timers), max_wait_(max_wait), request_sync_(std::move(request_sync)) {}

size_t account_rate_limiter::ShardIndex(absl::string_view client_account) {
  return absl::HashOf(client_account) % kShardCount;
}

account_rate_limiter::shard& account_rate_limiter::ShardOf(absl::string_view client_account) {
  return shards_[ShardIndex(client_account)];
}

void account_rate_limiter::SetAccounts(absl::Span<const account_rate> accounts) {
  const absl::Time now = clock_.Now();
  std::array<std::vector<account_rate>, kShardCount> items_by_shard;
  for (const account_rate& account : accounts) {
    items_by_shard[ShardIndex(account.client_account)].push_back(account);
  }
  for (size_t i = 0; i < kShardCount; ++i) {
    absl::MutexLock lock(&shards_[i].mutex);
    shards_[i].cache.SetAccounts(items_by_shard[i], now);
  }
}

void account_rate_limiter::AcquireToken(absl::string_view client_account, completion done) {
  shard& account_shard = ShardOf(client_account);
  uint64_t waiter_id = 0;
  bool needs_sync = false;
  std::vector<finished_wait> finished;
  bool is_waiting = false;
  {
    absl::MutexLock lock(&account_shard.mutex);
    const absl::Time now = clock_.Now();
    auto& queue = account_shard.wait_queues[client_account];
    // Requests that are already waiting are served first.
    if (queue.empty() && account_shard.cache.TryTake(client_account, now)) {
      finished.push_back({std::move(done), {.granted = true, .retry_after = {}}});
    } else {
      waiter_id = ++account_shard.next_waiter_id;
      queue.push_back({waiter_id, std::move(done)});
      account_shard.cache.AddWaiting(client_account);
      GrantWaiting(account_shard, client_account, &token_cache::TryTakeFallback, now, finished);
      is_waiting = !queue.empty();
    }
    needs_sync = account_shard.cache.NeedsEarlySync(now);
  }
  if (needs_sync) request_sync_();
  for (finished_wait& wait : finished) wait.done(wait.outcome);
  if (!is_waiting) return;
  timers_.RunAt(clock_.Now() + max_wait_,
                [this, &account_shard, account = std::string(client_account), waiter_id] {
                  ExpireWait(account_shard, account, waiter_id);
                });
}

void account_rate_limiter::SetAllocatorLost(bool lost) {
  std::vector<finished_wait> finished;
  for (shard& account_shard : shards_) {
    absl::MutexLock lock(&account_shard.mutex);
    if (!lost) {
      account_shard.cache.OnAllocatorRestored();
      continue;
    }
    const absl::Time now = clock_.Now();
    account_shard.cache.OnAllocatorLost(now);
    for (const auto& [account, queue] : account_shard.wait_queues) {
      if (!queue.empty()) {
        GrantWaiting(account_shard, account, &token_cache::TryTakeFallback, now, finished);
      }
    }
  }
  for (finished_wait& wait : finished) wait.done(wait.outcome);
}

void account_rate_limiter::ExpireWait(shard& account_shard, const std::string& client_account,
                                      uint64_t waiter_id) {
  completion done;
  token_result refused;
  {
    absl::MutexLock lock(&account_shard.mutex);
    auto& queue = account_shard.wait_queues[client_account];
    const auto found = std::find_if(queue.begin(), queue.end(),
                                    [&](const waiter& entry) { return entry.id == waiter_id; });
    if (found == queue.end()) return;
    done = std::move(found->done);
    queue.erase(found);
    account_shard.cache.RemoveWaiting(client_account);
    refused.retry_after = account_shard.cache.RetryAfter(client_account, clock_.Now());
  }
  done(refused);
}

std::vector<token_demand> account_rate_limiter::CollectDemands() {
  std::vector<token_demand> demands;
  const absl::Time now = clock_.Now();
  for (shard& account_shard : shards_) {
    absl::MutexLock lock(&account_shard.mutex);
    for (token_demand& demand : account_shard.cache.CollectDemands(now)) {
      demands.push_back(std::move(demand));
    }
  }
  return demands;
}

void account_rate_limiter::GrantWaiting(shard& account_shard, absl::string_view account,
                                        take_function try_take, absl::Time now,
                                        std::vector<finished_wait>& finished) {
  auto& queue = account_shard.wait_queues[account];
  while (!queue.empty() && (account_shard.cache.*try_take)(account, now)) {
    account_shard.cache.RemoveWaiting(account);
    finished.push_back({std::move(queue.front().done), {.granted = true, .retry_after = {}}});
    queue.pop_front();
  }
}

void account_rate_limiter::ApplyGrants(absl::Span<const token_grant> grants,
                                       absl::Time request_sent_at) {
  // A token cache accepts all grants of one response in a single call and ignores repeated
  // responses.
  std::array<std::vector<token_grant>, kShardCount> items_by_shard;
  for (const token_grant& grant : grants) {
    items_by_shard[ShardIndex(grant.client_account)].push_back(grant);
  }
  std::vector<finished_wait> finished;
  bool needs_sync = false;
  for (size_t i = 0; i < kShardCount; ++i) {
    if (items_by_shard[i].empty()) continue;
    shard& account_shard = shards_[i];
    absl::MutexLock lock(&account_shard.mutex);
    const absl::Time now = clock_.Now();
    account_shard.cache.ApplyGrants(items_by_shard[i], request_sent_at, now);
    for (const token_grant& grant : items_by_shard[i]) {
      GrantWaiting(account_shard, grant.client_account, &token_cache::TryTake, now, finished);
    }
    // Demand not covered by these grants requires another sync.
    needs_sync = needs_sync || account_shard.cache.NeedsEarlySync(now);
  }
  if (needs_sync) request_sync_();
  for (finished_wait& wait : finished) wait.done(wait.outcome);
}

}  // namespace teaseljunction
