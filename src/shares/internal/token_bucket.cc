#include "shares/internal/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace teaseljunction {
namespace {

constexpr absl::Duration kMaxLifetime = absl::Seconds(1);
// Assumed difference between the clocks of a daemon and of the owner.
constexpr double kClockDrift = 0.01;
constexpr absl::Duration kSumWindow = absl::Seconds(1);
// Daemons with waiting calls sync every 300 to 400 ms. Tokens kept for one that no longer asks are
// lost to the others.
constexpr absl::Duration kStarvedRetention = absl::Milliseconds(600);
constexpr size_t kMaxStarved = 1024;
// Part of the capacity that is kept for calls that wait. Tokens for a stock may expire unused.
constexpr double kKeptForWaiting = 0.75;
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(10);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(60);
// Rounding error of sums of accrued fractions of a token.
constexpr double kRounding = 1e-9;

}  // namespace

absl::Duration GrantLifetime(const account_rate& account) {
  if (account.rate <= 0) return kMaxLifetime;
  return std::min(kMaxLifetime, absl::Seconds(account.burst / (2 * account.rate)));
}

void second_sum::Add(double value, absl::Time now) {
  if (now - start_ >= kSumWindow) {
    previous_ = now - start_ < 2 * kSumWindow ? current_ : 0;
    current_ = 0;
    start_ = now;
  }
  current_ += value;
}

double second_sum::Get(absl::Time now) const {
  const double part = std::min(1.0, absl::FDivDuration(now - start_, kSumWindow));
  return current_ + previous_ * (1 - part);
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
  serial_ = capacity_ < 1;
  if (serial_) capacity_ = account.burst;
  level_ = std::min(level_, capacity_);
}

void token_bucket::Empty(absl::Time now) {
  level_ = 0;
  // A former owner can have granted a token just before.
  refilled_ = serial_ ? now + lifetime_ : now;
  starved_.clear();
}

void token_bucket::Refill(absl::Time now) {
  if (now <= refilled_) return;
  level_ += account_.rate * absl::ToDoubleSeconds(now - refilled_);
  level_ = std::min(level_, capacity_);
  refilled_ = now;
}

token_grant token_bucket::Demand(const token_demand& demand, absl::Time now) {
  Refill(now);
  demanded_.Add(demand.waiting, now);
  ForgetStarved(demand.missed, now);
  const double demanded = demanded_.Get(now);
  token_grant grant;
  grant.client_account = demand.client_account;
  grant.lifetime = lifetime_ * (1 - kClockDrift);
  grant.scarce = level_ < kKeptForWaiting * capacity_;
  grant.tokens = Share(demand, demanded);
  if (grant.tokens > 0) {
    level_ -= grant.tokens;
    if (serial_) refilled_ = now + lifetime_;
    return grant;
  }
  grant.retry_after = RetryAfter(Reserve(demand.missed), now);
  if (demand.waiting > 0 && starved_.size() < kMaxStarved) {
    starved_.push_back({demand.missed, now});
  }
  return grant;
}

void token_bucket::ForgetStarved(uint32_t missed, absl::Time now) {
  const auto expired = [now](const starved_daemon& daemon) {
    return now - daemon.since > kStarvedRetention;
  };
  starved_.erase(std::remove_if(starved_.begin(), starved_.end(), expired), starved_.end());
  if (missed == 0) return;
  // The entry of this daemon's previous request.
  const auto own =
      std::find_if(starved_.begin(), starved_.end(),
                   [missed](const starved_daemon& daemon) { return daemon.missed + 1 == missed; });
  if (own != starved_.end()) starved_.erase(own);
}

double token_bucket::Reserve(uint32_t missed) const {
  return static_cast<double>(
      std::count_if(starved_.begin(), starved_.end(),
                    [missed](const starved_daemon& daemon) { return daemon.missed > missed; }));
}

uint32_t token_bucket::Share(const token_demand& demand, double demanded) const {
  const double available = level_ - Reserve(demand.missed) + kRounding;
  if (demand.tokens == 0 || available < 1) return 0;
  if (serial_) return demand.waiting > 0 ? 1 : 0;
  const double waiting = std::min(demand.waiting, demand.tokens);
  const double supply = level_ + account_.rate * absl::ToDoubleSeconds(kSumWindow);
  const double part = std::min(1.0, supply / std::max(demanded, 1.0));
  const double least = std::min(1.0, waiting);
  const double for_waiting = std::clamp(std::floor(waiting * part), least, std::floor(available));
  const double spare = std::floor(available - for_waiting - kKeptForWaiting * capacity_);
  const double for_stock = std::clamp(demand.tokens - waiting, 0.0, std::max(0.0, spare));
  return static_cast<uint32_t>(for_waiting + for_stock);
}

absl::Duration token_bucket::RetryAfter(double reserve, absl::Time now) const {
  if (account_.rate <= 0) return kMaxRetryAfter;
  const double missing = std::max(0.0, 1 + reserve - level_);
  const absl::Duration suspended = std::max(refilled_ - now, absl::ZeroDuration());
  const absl::Duration wait = suspended + absl::Seconds(missing / account_.rate);
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace teaseljunction
