#pragma once

#include <cstdint>
#include <deque>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "shares/types.h"

namespace teaseljunction {

/// A daemon's granted tokens of one client account, and its measurements of demand and consumption.
class account_token_cache {
 public:
  explicit account_token_cache(const account_rate& account) : account_(account) {}

  /// Sets new limits. Drops the tokens when rate or burst differ.
  void Configure(const account_rate& account);

  bool TryTake(absl::Time now);
  void AddWaiting() { ++waiting_calls_; }
  void RemoveWaiting();

  /// Returns the demand to send at `now`, or nothing when no token is needed.
  absl::optional<token_demand> CollectDemand(absl::Time now);

  /// True when tokens should be requested before the next regular sync.
  bool NeedsEarlySync(absl::Time now) const;

  /// Sets the rate of fallback tokens from the consumption up to `now`.
  void OnAllocatorLost(absl::Time now);

  /// Takes a token while the allocator cannot be reached: a token of the last grants that expired
  /// unused, or one that accrues at a fraction of the previous consumption of this daemon.
  bool TryTakeFallback(absl::Time now);

  void ApplyGrant(const token_grant& grant, absl::Time request_sent_at, absl::Time now);
  absl::Duration RetryAfter(absl::Time now) const;

 private:
  /// Unused tokens of one grant.
  struct token_batch {
    absl::Time expiry;
    uint32_t tokens;
  };

  void DropExpired(absl::Time now);
  void RecordConsumption(absl::Time now);
  /// Returns the smoothed number of granted tokens used per second.
  double ConsumptionRate(absl::Time now) const;
  void UpdateDemandRate(absl::Time now);
  /// Returns how many of the cached tokens are expected to be used before they expire.
  double ExpectedUse(absl::Time now) const;
  /// Returns the number of tokens that should be cached after a sync.
  double PrefetchTarget() const;

  account_rate account_;
  std::deque<token_batch> batches_;
  uint32_t waiting_calls_ = 0;
  /// Expected calls of `TryTake` for calls that have waited. They are not counted as new requests.
  uint32_t pending_retries_ = 0;
  uint32_t consecutive_denials_ = 0;
  bool scarce_ = false;
  /// New requests since `arrivals_since_`.
  uint32_t arrivals_ = 0;
  absl::Time arrivals_since_ = absl::InfinitePast();
  /// Smoothed new requests per second.
  double demand_rate_ = 0;
  /// Number of waiting calls in the last demand.
  uint32_t requested_waiting_calls_ = 0;
  /// No early sync is sent before these times for waiting calls and for prefetching.
  absl::Time next_sync_for_waiting_ = absl::InfinitePast();
  absl::Time next_sync_for_prefetch_ = absl::InfinitePast();
  absl::Time retry_at_ = absl::InfinitePast();
  /// Granted tokens used per second, as of `consumption_updated_at_`.
  double consumption_rate_ = 0;
  absl::Time consumption_updated_at_ = absl::InfinitePast();
  /// Tokens of the last grants that expired unused.
  uint32_t expired_unused_ = 0;
  /// Rate (per second) and number of fallback tokens, as of `fallback_refilled_at_`.
  double fallback_rate_ = 0;
  double fallback_level_ = 0;
  absl::Time fallback_refilled_at_ = absl::InfinitePast();
};

}  // namespace teaseljunction
