#include "shares/internal/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace teaseljunction {
namespace {

constexpr absl::Duration kMaxGrantLifetime = absl::Seconds(1);
// Largest assumed difference in speed between the clocks of a daemon and of the allocator.
constexpr double kMaxClockDrift = 0.01;
constexpr absl::Duration kDemandWindow = absl::Seconds(1);
// Daemons with waiting calls sync every 300 to 400 ms. Tokens reserved for a daemon that has
// stopped asking would be lost to the others.
constexpr absl::Duration kStarvedRetention = absl::Milliseconds(600);
constexpr size_t kMaxStarvedEntries = 1024;
// Fraction of the capacity that is reserved for waiting calls. Prefetched tokens may expire unused.
constexpr double kWaitingReserveFraction = 0.75;
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(10);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(60);
// Allows for rounding errors in sums of fractions of a token.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

absl::Duration GrantLifetime(const account_rate& account) {
  if (account.rate <= 0) return kMaxGrantLifetime;
  return std::min(kMaxGrantLifetime, absl::Seconds(account.burst / (2 * account.rate)));
}

void sliding_window_sum::Add(double value, absl::Time now) {
  if (now - start_ >= kDemandWindow) {
    previous_ = now - start_ < 2 * kDemandWindow ? current_ : 0;
    current_ = 0;
    start_ = now;
  }
  current_ += value;
}

double sliding_window_sum::Get(absl::Time now) const {
  const double elapsed_fraction = std::min(1.0, absl::FDivDuration(now - start_, kDemandWindow));
  return current_ + previous_ * (1 - elapsed_fraction);
}

token_bucket::token_bucket(const account_rate& account, absl::Time now) {
  Configure(account, now);
  Empty(now);
}

void token_bucket::Configure(const account_rate& account, absl::Time now) {
  Refill(now);
  account_ = account;
  lifetime_ = GrantLifetime(account);
  const double granted_ahead = account.rate * absl::ToDoubleSeconds(lifetime_);
  capacity_ = account.burst - std::max(0.0, granted_ahead - account.tolerance);
  one_at_a_time_ = capacity_ < 1;
  if (one_at_a_time_) capacity_ = account.burst;
  level_ = std::min(level_, capacity_);
}

void token_bucket::Empty(absl::Time now) {
  level_ = 0;
  // The previous allocator may have granted a token just before.
  refilled_until_ = one_at_a_time_ ? now + lifetime_ : now;
  starved_.clear();
}

void token_bucket::Refill(absl::Time now) {
  if (now <= refilled_until_) return;
  level_ += account_.rate * absl::ToDoubleSeconds(now - refilled_until_);
  level_ = std::min(level_, capacity_);
  refilled_until_ = now;
}

token_grant token_bucket::Grant(const token_demand& demand, absl::Time now) {
  Refill(now);
  recent_demand_.Add(demand.waiting_calls, now);
  DropStarved(demand.consecutive_denials, now);
  const double demanded = recent_demand_.Get(now);
  token_grant grant;
  grant.client_account = demand.client_account;
  grant.lifetime = lifetime_ * (1 - kMaxClockDrift);
  grant.scarce = level_ < kWaitingReserveFraction * capacity_;
  grant.tokens = TokensToGrant(demand, demanded);
  if (grant.tokens > 0) {
    level_ -= grant.tokens;
    if (one_at_a_time_) refilled_until_ = now + lifetime_;
    return grant;
  }
  grant.retry_after = RetryAfter(ReservedTokens(demand.consecutive_denials), now);
  if (demand.waiting_calls > 0 && starved_.size() < kMaxStarvedEntries) {
    starved_.push_back({demand.consecutive_denials, now});
  }
  return grant;
}

void token_bucket::DropStarved(uint32_t missed, absl::Time now) {
  const auto expired = [now](const starved_daemon& daemon) {
    return now - daemon.since > kStarvedRetention;
  };
  starved_.erase(std::remove_if(starved_.begin(), starved_.end(), expired), starved_.end());
  if (missed == 0) return;
  // The entry of this daemon's previous request.
  const auto previous =
      std::find_if(starved_.begin(), starved_.end(),
                   [missed](const starved_daemon& daemon) { return daemon.missed + 1 == missed; });
  if (previous != starved_.end()) starved_.erase(previous);
}

double token_bucket::ReservedTokens(uint32_t missed) const {
  return static_cast<double>(
      std::count_if(starved_.begin(), starved_.end(),
                    [missed](const starved_daemon& daemon) { return daemon.missed > missed; }));
}

uint32_t token_bucket::TokensToGrant(const token_demand& demand, double demanded) const {
  const double available = level_ - ReservedTokens(demand.consecutive_denials) + kRoundingTolerance;
  if (demand.tokens == 0 || available < 1) return 0;
  if (one_at_a_time_) return demand.waiting_calls > 0 ? 1 : 0;
  const double waiting = std::min(demand.waiting_calls, demand.tokens);
  const double supply = level_ + account_.rate * absl::ToDoubleSeconds(kDemandWindow);
  const double fraction = std::min(1.0, supply / std::max(demanded, 1.0));
  const double min_for_waiting = std::min(1.0, waiting);
  const double for_waiting =
      std::clamp(std::floor(waiting * fraction), min_for_waiting, std::floor(available));
  const double spare = std::floor(available - for_waiting - kWaitingReserveFraction * capacity_);
  const double for_prefetch = std::clamp(demand.tokens - waiting, 0.0, std::max(0.0, spare));
  return static_cast<uint32_t>(for_waiting + for_prefetch);
}

absl::Duration token_bucket::RetryAfter(double reserved, absl::Time now) const {
  if (account_.rate <= 0) return kMaxRetryAfter;
  const double missing = std::max(0.0, 1 + reserved - level_);
  const absl::Duration suspended = std::max(refilled_until_ - now, absl::ZeroDuration());
  const absl::Duration wait = suspended + absl::Seconds(missing / account_.rate);
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace teaseljunction
