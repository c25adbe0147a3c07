#include "shares/internal/account_share.h"

#include <algorithm>
#include <cmath>

#include "shares/internal/token_bucket.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kSyncInterval = absl::Seconds(1);
constexpr absl::Duration kDemandTimeConstant = absl::Seconds(1);
constexpr absl::Duration kMinCountTime = absl::Milliseconds(50);
// Stock below which an early sync is needed: the demand until its response can be there.
constexpr absl::Duration kLowStock = absl::Milliseconds(150);
// While tokens are scarce, the stock covers a part of their lifetime, so that few expire unused.
constexpr double kScarceHorizon = 0.4;
// Demand in requests per second below which no token is held in reserve.
constexpr double kMinDemandRate = 0.2;
// Pause between early syncs when the owner had fewer tokens than requested.
constexpr absl::Duration kMaxShortagePause = absl::Milliseconds(300);
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(1);
// Time over which the use of granted tokens is averaged. Longer than a burst, so that the shares of
// all daemons together stay close to the rate of the account.
constexpr absl::Duration kTakenTimeConstant = absl::Seconds(3);
// Part of the earlier use that a daemon may go on with while the owner cannot be asked. The rest
// covers tokens that a new owner grants to daemons that have found it first.
constexpr double kStandingPart = 0.8;
// Time for which unused standing tokens are kept.
constexpr absl::Duration kStandingKept = absl::Milliseconds(100);

}  // namespace

void account_share::Configure(const account_rate& account) {
  if (account.rate != account_.rate || account.burst != account_.burst) {
    batches_.clear();
    lapsed_ = 0;
  }
  account_ = account;
}

bool account_share::TryTake(absl::Time now) {
  if (repeats_ > 0) {
    --repeats_;
  } else {
    if (counted_since_ == absl::InfinitePast()) counted_since_ = now;
    ++arrivals_;
  }
  DropExpired(now);
  if (batches_.empty()) return false;
  if (--batches_.front().tokens == 0) batches_.pop_front();
  CountTaken(now);
  return true;
}

double account_share::TakenRate(absl::Time now) const {
  if (taken_updated_ == absl::InfinitePast()) return 0;
  return taken_rate_ * std::exp(-absl::FDivDuration(now - taken_updated_, kTakenTimeConstant));
}

void account_share::CountTaken(absl::Time now) {
  taken_rate_ = TakenRate(now) + 1 / absl::ToDoubleSeconds(kTakenTimeConstant);
  taken_updated_ = now;
}

void account_share::OwnerLost(absl::Time now) {
  standing_rate_ = kStandingPart * TakenRate(now);
  standing_level_ = 0;
  standing_refilled_ = now;
}

bool account_share::TakeStanding(absl::Time now) {
  DropExpired(now);
  // The owner has debited these tokens. With many daemons most of an account's tokens are in such
  // stocks, and the part of the rate of one daemon is below a token a second.
  if (lapsed_ > 0) {
    --lapsed_;
    return true;
  }
  const double most = std::max(1.0, standing_rate_ * absl::ToDoubleSeconds(kStandingKept));
  const double added = standing_rate_ * absl::ToDoubleSeconds(now - standing_refilled_);
  standing_level_ = std::min(most, standing_level_ + added);
  standing_refilled_ = now;
  if (standing_level_ < 1) return false;
  standing_level_ -= 1;
  return true;
}

void account_share::RemoveWaiting() {
  if (waiting_ > 0) --waiting_;
}

void account_share::DropExpired(absl::Time now) {
  std::erase_if(batches_, [this, now](const batch& held) {
    if (held.expiry > now) return false;
    lapsed_ += held.tokens;
    return true;
  });
}

void account_share::UpdateDemandRate(absl::Time now) {
  const absl::Duration elapsed = now - counted_since_;
  if (elapsed < kMinCountTime) return;
  const double weight = 1 - std::exp(-absl::FDivDuration(elapsed, kDemandTimeConstant));
  const double rate = arrivals_ / absl::ToDoubleSeconds(elapsed);
  demand_rate_ += weight * (rate - demand_rate_);
  arrivals_ = 0;
  counted_since_ = now;
}

double account_share::Usable(absl::Time now) const {
  double usable = 0;
  for (const batch& held : batches_) {
    const double demand = demand_rate_ * absl::ToDoubleSeconds(held.expiry - now);
    usable += std::clamp(demand - usable, 0.0, static_cast<double>(held.tokens));
  }
  return usable;
}

double account_share::Stock() const {
  const absl::Duration lifetime = GrantLifetime(account_);
  if (scarce_) return std::floor(demand_rate_ * absl::ToDoubleSeconds(lifetime * kScarceHorizon));
  const double expected = demand_rate_ * absl::ToDoubleSeconds(std::min(lifetime, kSyncInterval));
  const double reserve = demand_rate_ > kMinDemandRate ? 1 + 2 * std::sqrt(expected) : 0;
  return std::ceil(expected + reserve);
}

absl::optional<token_demand> account_share::CollectDemand(absl::Time now) {
  DropExpired(now);
  if (counted_since_ != absl::InfinitePast()) UpdateDemandRate(now);
  const double stock = std::max(0.0, Stock() - std::floor(Usable(now)));
  const double most = account_.burst + account_.rate;
  token_demand demand;
  demand.client_account = account_.client_account;
  demand.tokens = static_cast<uint32_t>(std::min(waiting_ + stock, std::ceil(most)));
  demand.waiting = std::min(waiting_, demand.tokens);
  demand.missed = missed_;
  requested_waiting_ = demand.waiting;
  if (demand.tokens == 0) return absl::nullopt;
  return demand;
}

bool account_share::Urgent(absl::Time now) const {
  if (waiting_ > 0) return now >= waiting_after_;
  if (now < stock_after_) return false;
  const double low = std::min(Stock(), demand_rate_ * absl::ToDoubleSeconds(kLowStock));
  return low > 0 && Usable(now) < low;
}

void account_share::ApplyGrant(const token_grant& grant, absl::Time request_sent_at,
                               absl::Time now) {
  // A bucket holds the accrual of at least one lifetime, so none is lost during the pause.
  const absl::Duration pause = std::min(kMaxShortagePause, GrantLifetime(account_) / 2);
  scarce_ = grant.scarce;
  repeats_ = waiting_;
  if (grant.tokens == 0) {
    retry_at_ = now + grant.retry_after;
    stock_after_ = now + kMaxShortagePause;
    if (requested_waiting_ == 0) return;
    ++missed_;
    waiting_after_ = now + std::min(grant.retry_after, kMaxShortagePause);
    return;
  }
  missed_ = 0;
  lapsed_ = 0;
  if (grant.tokens < requested_waiting_) waiting_after_ = now + pause;
  const absl::Time expiry = request_sent_at + grant.lifetime;
  if (expiry <= now) return;
  batches_.push_back({expiry, grant.tokens});
}

absl::Duration account_share::RetryAfter(absl::Time now) const {
  return std::max(retry_at_ - now, kMinRetryAfter);
}

}  // namespace teaseljunction
