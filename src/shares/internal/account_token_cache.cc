#include "shares/internal/account_token_cache.h"

#include <algorithm>
#include <cmath>

#include "shares/internal/token_bucket.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kRegularSyncInterval = absl::Seconds(1);
constexpr absl::Duration kDemandTimeConstant = absl::Seconds(1);
constexpr absl::Duration kMinMeasurementTime = absl::Milliseconds(50);
// An early sync is needed when the cached tokens do not cover the demand of this time, which is
// long enough for the response to arrive.
constexpr absl::Duration kPrefetchLeadTime = absl::Milliseconds(150);
// While tokens are scarce, prefetched tokens cover only this fraction of their lifetime, so that
// few expire unused.
constexpr double kScarceFraction = 0.4;
// Demand in requests per second up to which no tokens are prefetched beyond the expected demand.
constexpr double kMinRateForPrefetchMargin = 0.2;
// Longest pause between early syncs after a grant of fewer tokens than requested.
constexpr absl::Duration kMaxShortagePause = absl::Milliseconds(300);
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(1);
// Averaging time of the consumption. Longer than a burst, so that the fallback rates of all daemons
// together stay close to the rate of the account.
constexpr absl::Duration kConsumptionTimeConstant = absl::Seconds(3);
// Fraction of the previous consumption that a daemon may continue with while the allocator cannot
// be reached. The rest allows for tokens that a new allocator grants to the daemons that find it
// first.
constexpr double kFallbackRateFraction = 0.8;
// Unused fallback tokens accumulate up to the accrual of this time.
constexpr absl::Duration kFallbackRetention = absl::Milliseconds(100);

}  // namespace

void account_token_cache::Configure(const account_rate& account) {
  if (account.rate != account_.rate || account.burst != account_.burst) {
    batches_.clear();
    expired_unused_ = 0;
  }
  account_ = account;
}

bool account_token_cache::TryTake(absl::Time now) {
  if (pending_retries_ > 0) {
    --pending_retries_;
  } else {
    if (arrivals_since_ == absl::InfinitePast()) arrivals_since_ = now;
    ++arrivals_;
  }
  DropExpired(now);
  if (batches_.empty()) return false;
  if (--batches_.front().tokens == 0) batches_.pop_front();
  RecordConsumption(now);
  return true;
}

double account_token_cache::ConsumptionRate(absl::Time now) const {
  if (consumption_updated_at_ == absl::InfinitePast()) return 0;
  return consumption_rate_ *
         std::exp(-absl::FDivDuration(now - consumption_updated_at_, kConsumptionTimeConstant));
}

void account_token_cache::RecordConsumption(absl::Time now) {
  consumption_rate_ = ConsumptionRate(now) + 1 / absl::ToDoubleSeconds(kConsumptionTimeConstant);
  consumption_updated_at_ = now;
}

void account_token_cache::OnAllocatorLost(absl::Time now) {
  fallback_rate_ = kFallbackRateFraction * ConsumptionRate(now);
  fallback_level_ = 0;
  fallback_refilled_at_ = now;
}

bool account_token_cache::TryTakeFallback(absl::Time now) {
  DropExpired(now);
  // These tokens were already debited. With many daemons, most tokens of an account are prefetched,
  // and the fallback rate of one daemon can be below one token per second.
  if (expired_unused_ > 0) {
    --expired_unused_;
    return true;
  }
  const double capacity = std::max(1.0, fallback_rate_ * absl::ToDoubleSeconds(kFallbackRetention));
  const double accrued = fallback_rate_ * absl::ToDoubleSeconds(now - fallback_refilled_at_);
  fallback_level_ = std::min(capacity, fallback_level_ + accrued);
  fallback_refilled_at_ = now;
  if (fallback_level_ < 1) return false;
  fallback_level_ -= 1;
  return true;
}

void account_token_cache::RemoveWaiting() {
  if (waiting_calls_ > 0) --waiting_calls_;
}

void account_token_cache::DropExpired(absl::Time now) {
  std::erase_if(batches_, [this, now](const token_batch& batch) {
    if (batch.expiry > now) return false;
    expired_unused_ += batch.tokens;
    return true;
  });
}

void account_token_cache::UpdateDemandRate(absl::Time now) {
  const absl::Duration elapsed = now - arrivals_since_;
  if (elapsed < kMinMeasurementTime) return;
  const double weight = 1 - std::exp(-absl::FDivDuration(elapsed, kDemandTimeConstant));
  const double rate = arrivals_ / absl::ToDoubleSeconds(elapsed);
  demand_rate_ += weight * (rate - demand_rate_);
  arrivals_ = 0;
  arrivals_since_ = now;
}

double account_token_cache::ExpectedUse(absl::Time now) const {
  double expected = 0;
  for (const token_batch& batch : batches_) {
    const double demand = demand_rate_ * absl::ToDoubleSeconds(batch.expiry - now);
    expected += std::clamp(demand - expected, 0.0, static_cast<double>(batch.tokens));
  }
  return expected;
}

double account_token_cache::PrefetchTarget() const {
  const absl::Duration lifetime = GrantLifetime(account_);
  if (scarce_) return std::floor(demand_rate_ * absl::ToDoubleSeconds(lifetime * kScarceFraction));
  const double expected =
      demand_rate_ * absl::ToDoubleSeconds(std::min(lifetime, kRegularSyncInterval));
  const double margin = demand_rate_ > kMinRateForPrefetchMargin ? 1 + 2 * std::sqrt(expected) : 0;
  return std::ceil(expected + margin);
}

absl::optional<token_demand> account_token_cache::CollectDemand(absl::Time now) {
  DropExpired(now);
  if (arrivals_since_ != absl::InfinitePast()) UpdateDemandRate(now);
  const double prefetch = std::max(0.0, PrefetchTarget() - std::floor(ExpectedUse(now)));
  const double max_tokens = account_.burst + account_.rate;
  token_demand demand;
  demand.client_account = account_.client_account;
  demand.tokens = static_cast<uint32_t>(std::min(waiting_calls_ + prefetch, std::ceil(max_tokens)));
  demand.waiting_calls = std::min(waiting_calls_, demand.tokens);
  demand.consecutive_denials = consecutive_denials_;
  requested_waiting_calls_ = demand.waiting_calls;
  if (demand.tokens == 0) return absl::nullopt;
  return demand;
}

bool account_token_cache::NeedsEarlySync(absl::Time now) const {
  if (waiting_calls_ > 0) return now >= next_sync_for_waiting_;
  if (now < next_sync_for_prefetch_) return false;
  const double low_water =
      std::min(PrefetchTarget(), demand_rate_ * absl::ToDoubleSeconds(kPrefetchLeadTime));
  return low_water > 0 && ExpectedUse(now) < low_water;
}

void account_token_cache::ApplyGrant(const token_grant& grant, absl::Time request_sent_at,
                                     absl::Time now) {
  // The bucket can hold the accrual of at least one grant lifetime, so none is lost in the pause.
  const absl::Duration pause = std::min(kMaxShortagePause, GrantLifetime(account_) / 2);
  scarce_ = grant.scarce;
  pending_retries_ = waiting_calls_;
  if (grant.tokens == 0) {
    retry_at_ = now + grant.retry_after;
    next_sync_for_prefetch_ = now + kMaxShortagePause;
    if (requested_waiting_calls_ == 0) return;
    ++consecutive_denials_;
    next_sync_for_waiting_ = now + std::min(grant.retry_after, kMaxShortagePause);
    return;
  }
  consecutive_denials_ = 0;
  expired_unused_ = 0;
  if (grant.tokens < requested_waiting_calls_) next_sync_for_waiting_ = now + pause;
  const absl::Time expiry = request_sent_at + grant.lifetime;
  if (expiry <= now) return;
  batches_.push_back({expiry, grant.tokens});
}

absl::Duration account_token_cache::RetryAfter(absl::Time now) const {
  return std::max(retry_at_ - now, kMinRetryAfter);
}

}  // namespace teaseljunction
