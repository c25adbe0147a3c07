#pragma once

#include <cstdint>
#include <deque>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "shares/types.h"

namespace teaseljunction {

/// A daemon's tokens of one client account and the demand that it sees.
class account_share {
 public:
  explicit account_share(const account_rate& account) : account_(account) {}

  /// Sets new limits. Tokens are dropped when the limits differ.
  void Configure(const account_rate& account);

  bool TryTake(absl::Time now);
  void AddWaiting() { ++waiting_; }
  void RemoveWaiting();

  /// Returns what to request at `now`, or nothing when no token is needed.
  absl::optional<token_demand> CollectDemand(absl::Time now);

  /// True when tokens should be requested before the next regular sync.
  bool Urgent(absl::Time now) const;

  /// Begins the time in which the owner cannot be asked. See `TakeStanding`.
  void OwnerLost(absl::Time now);

  /// Takes a token while the owner cannot be asked: one that the owner granted last and that has
  /// expired unused, or one at a part of the rate at which this daemon used granted tokens before.
  bool TakeStanding(absl::Time now);

  void ApplyGrant(const token_grant& grant, absl::Time request_sent_at, absl::Time now);
  absl::Duration RetryAfter(absl::Time now) const;

 private:
  /// Tokens of one grant.
  struct batch {
    absl::Time expiry;
    uint32_t tokens;
  };

  void DropExpired(absl::Time now);
  void CountTaken(absl::Time now);
  /// Returns the smoothed number of granted tokens that were used per second.
  double TakenRate(absl::Time now) const;
  void UpdateDemandRate(absl::Time now);
  /// Returns how many of the tokens are expected to be used before they expire.
  double Usable(absl::Time now) const;
  /// Returns the number of tokens to hold after a sync.
  double Stock() const;

  account_rate account_;
  std::deque<batch> batches_;
  uint32_t waiting_ = 0;
  /// Calls of `TryTake` to come that repeat an earlier one, because the call has waited.
  uint32_t repeats_ = 0;
  uint32_t missed_ = 0;
  bool scarce_ = false;
  /// New requests since `counted_since_`.
  uint32_t arrivals_ = 0;
  absl::Time counted_since_ = absl::InfinitePast();
  /// Smoothed new requests per second.
  double demand_rate_ = 0;
  /// Number of waiting calls in the last request.
  uint32_t requested_waiting_ = 0;
  /// Times before which no early sync is needed for waiting calls, and for the stock.
  absl::Time waiting_after_ = absl::InfinitePast();
  absl::Time stock_after_ = absl::InfinitePast();
  absl::Time retry_at_ = absl::InfinitePast();
  /// Granted tokens used per second, as of `taken_updated_`.
  double taken_rate_ = 0;
  absl::Time taken_updated_ = absl::InfinitePast();
  /// Tokens of the last grants that have expired unused.
  uint32_t lapsed_ = 0;
  /// Rate and level of the tokens that may be used without the owner, as of `standing_refilled_`.
  double standing_rate_ = 0;
  double standing_level_ = 0;
  absl::Time standing_refilled_ = absl::InfinitePast();
};

}  // namespace teaseljunction
