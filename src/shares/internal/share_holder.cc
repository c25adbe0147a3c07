#include "shares/share_holder.h"

#include <algorithm>

#include "absl/types/optional.h"
#include "shares/internal/account_share.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kUnknownRetryAfter = absl::Seconds(1);
// Longer than a change of the leader takes. Daemons that are cut off from the owner while others
// are not use tokens beyond the rate, so the time is bounded.
constexpr absl::Duration kStandingTime = absl::Milliseconds(1200);

}  // namespace

share_holder::share_holder() = default;
share_holder::~share_holder() = default;

void share_holder::SetAccounts(absl::Span<const account_rate> accounts, absl::Time /*now*/) {
  absl::flat_hash_map<std::string, account_share> next;
  for (const account_rate& account : accounts) {
    const auto known = accounts_.find(account.client_account);
    if (known == accounts_.end()) {
      next.emplace(account.client_account, account_share(account));
      continue;
    }
    known->second.Configure(account);
    next.insert(std::move(*known));
  }
  accounts_ = std::move(next);
}

bool share_holder::TryTake(absl::string_view account, absl::Time now) {
  const auto share = accounts_.find(account);
  return share != accounts_.end() && share->second.TryTake(now);
}

void share_holder::OwnerLost(absl::Time now) {
  if (owner_lost_at_) return;
  owner_lost_at_ = now;
  for (auto& [account, share] : accounts_) share.OwnerLost(now);
}

bool share_holder::TakeStanding(absl::string_view account, absl::Time now) {
  if (!owner_lost_at_ || now - *owner_lost_at_ > kStandingTime) return false;
  const auto share = accounts_.find(account);
  return share != accounts_.end() && share->second.TakeStanding(now);
}

void share_holder::AddWaiting(absl::string_view account) {
  const auto share = accounts_.find(account);
  if (share != accounts_.end()) share->second.AddWaiting();
}

void share_holder::RemoveWaiting(absl::string_view account) {
  const auto share = accounts_.find(account);
  if (share != accounts_.end()) share->second.RemoveWaiting();
}

std::vector<token_demand> share_holder::CollectDemands(absl::Time now) {
  std::vector<token_demand> demands;
  for (auto& [account, share] : accounts_) {
    absl::optional<token_demand> demand = share.CollectDemand(now);
    if (demand) demands.push_back(*std::move(demand));
  }
  return demands;
}

bool share_holder::Urgent(absl::Time now) const {
  return std::any_of(accounts_.begin(), accounts_.end(),
                     [now](const auto& entry) { return entry.second.Urgent(now); });
}

void share_holder::ApplyGrants(absl::Span<const token_grant> grants, absl::Time request_sent_at,
                               absl::Time now) {
  if (request_sent_at <= last_applied_) return;
  last_applied_ = request_sent_at;
  for (const token_grant& grant : grants) {
    const auto share = accounts_.find(grant.client_account);
    if (share != accounts_.end()) share->second.ApplyGrant(grant, request_sent_at, now);
  }
}

absl::Duration share_holder::RetryAfter(absl::string_view account, absl::Time now) const {
  const auto share = accounts_.find(account);
  return share == accounts_.end() ? kUnknownRetryAfter : share->second.RetryAfter(now);
}

}  // namespace teaseljunction
