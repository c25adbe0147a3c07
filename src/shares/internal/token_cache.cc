#include "shares/token_cache.h"

#include <algorithm>

#include "absl/types/optional.h"
#include "shares/internal/account_token_cache.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);
// Longer than a change of the leader takes. Bounded, because daemons that are partitioned from the
// allocator while others are not use tokens beyond the rate.
constexpr absl::Duration kFallbackPeriod = absl::Milliseconds(1200);

}  // namespace

token_cache::token_cache() = default;
token_cache::~token_cache() = default;

void token_cache::SetAccounts(absl::Span<const account_rate> accounts, absl::Time /*now*/) {
  absl::flat_hash_map<std::string, account_token_cache> updated;
  for (const account_rate& account : accounts) {
    const auto known = accounts_.find(account.client_account);
    if (known == accounts_.end()) {
      updated.emplace(account.client_account, account_token_cache(account));
      continue;
    }
    known->second.Configure(account);
    updated.insert(std::move(*known));
  }
  accounts_ = std::move(updated);
}

bool token_cache::TryTake(absl::string_view account, absl::Time now) {
  const auto cache = accounts_.find(account);
  return cache != accounts_.end() && cache->second.TryTake(now);
}

void token_cache::OnAllocatorLost(absl::Time now) {
  if (allocator_lost_at_) return;
  allocator_lost_at_ = now;
  for (auto& [account, cache] : accounts_) cache.OnAllocatorLost(now);
}

bool token_cache::TryTakeFallback(absl::string_view account, absl::Time now) {
  if (!allocator_lost_at_ || now - *allocator_lost_at_ > kFallbackPeriod) return false;
  const auto cache = accounts_.find(account);
  return cache != accounts_.end() && cache->second.TryTakeFallback(now);
}

void token_cache::AddWaiting(absl::string_view account) {
  const auto cache = accounts_.find(account);
  if (cache != accounts_.end()) cache->second.AddWaiting();
}

void token_cache::RemoveWaiting(absl::string_view account) {
  const auto cache = accounts_.find(account);
  if (cache != accounts_.end()) cache->second.RemoveWaiting();
}

std::vector<token_demand> token_cache::CollectDemands(absl::Time now) {
  std::vector<token_demand> demands;
  for (auto& [account, cache] : accounts_) {
    absl::optional<token_demand> demand = cache.CollectDemand(now);
    if (demand) demands.push_back(*std::move(demand));
  }
  return demands;
}

bool token_cache::NeedsEarlySync(absl::Time now) const {
  return std::any_of(accounts_.begin(), accounts_.end(),
                     [now](const auto& entry) { return entry.second.NeedsEarlySync(now); });
}

void token_cache::ApplyGrants(absl::Span<const token_grant> grants, absl::Time request_sent_at,
                              absl::Time now) {
  if (request_sent_at <= last_applied_request_) return;
  last_applied_request_ = request_sent_at;
  for (const token_grant& grant : grants) {
    const auto cache = accounts_.find(grant.client_account);
    if (cache != accounts_.end()) cache->second.ApplyGrant(grant, request_sent_at, now);
  }
}

absl::Duration token_cache::RetryAfter(absl::string_view account, absl::Time now) const {
  const auto cache = accounts_.find(account);
  return cache == accounts_.end() ? kDefaultRetryAfter : cache->second.RetryAfter(now);
}

}  // namespace teaseljunction
