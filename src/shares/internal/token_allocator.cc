#include "shares/token_allocator.h"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "shares/internal/token_bucket.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);

}  // namespace

token_allocator::token_allocator() = default;
token_allocator::~token_allocator() = default;

void token_allocator::SetAccounts(absl::Span<const account_rate> accounts, absl::Time now) {
  absl::flat_hash_set<absl::string_view> names;
  for (const account_rate& account : accounts) {
    names.insert(account.client_account);
    const auto [place, added] = buckets_.try_emplace(account.client_account, account, now);
    if (!added) place->second.Configure(account, now);
  }
  absl::erase_if(buckets_, [&names](const auto& bucket) { return !names.contains(bucket.first); });
}

void token_allocator::StartTerm(absl::Time now) {
  in_term_ = true;
  for (auto& [account, bucket] : buckets_) bucket.Empty(now);
}

void token_allocator::EndTerm() { in_term_ = false; }

token_grant token_allocator::Grant(const token_demand& demand, absl::Time now) {
  const auto bucket = buckets_.find(demand.client_account);
  if (in_term_ && bucket != buckets_.end()) return bucket->second.Grant(demand, now);
  token_grant refusal;
  refusal.client_account = demand.client_account;
  refusal.retry_after = kDefaultRetryAfter;
  return refusal;
}

}  // namespace teaseljunction
