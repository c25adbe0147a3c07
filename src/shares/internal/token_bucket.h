#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "shares/types.h"

namespace teaseljunction {

/// Returns the lifetime of a grant of this account, measured on the allocator's clock.
absl::Duration GrantLifetime(const account_rate& account);

/// Approximate sum of the values of the last second, from two consecutive windows of one second.
class sliding_window_sum {
 public:
  void Add(double value, absl::Time now);
  double Get(absl::Time now) const;

 private:
  absl::Time start_ = absl::InfinitePast();
  double current_ = 0;
  double previous_ = 0;
};

/// Token bucket of one client account at the allocator.
class token_bucket {
 public:
  token_bucket(const account_rate& account, absl::Time now);

  /// Changes the rate and the burst. Keeps tokens up to the new capacity.
  void Configure(const account_rate& account, absl::Time now);

  /// Removes all tokens. Accrual starts at `now`.
  void Empty(absl::Time now);

  /// Debits tokens for one daemon.
  token_grant Grant(const token_demand& demand, absl::Time now);

 private:
  /// A daemon that recently got no token, identified only by its number of consecutive denials.
  struct starved_daemon {
    uint32_t missed;
    absl::Time since;
  };

  void Refill(absl::Time now);
  /// Removes expired entries, and the one of this daemon's previous request.
  void DropStarved(uint32_t missed, absl::Time now);
  /// Returns the number of tokens reserved for daemons with more than `missed` denials.
  double ReservedTokens(uint32_t missed) const;
  uint32_t TokensToGrant(const token_demand& demand, double demanded) const;
  absl::Duration RetryAfter(double reserved, absl::Time now) const;

  account_rate account_;
  absl::Duration lifetime_;
  double capacity_ = 0;
  /// True when tokens are granted one at a time, because the burst is too small; see
  /// `token_allocator`.
  bool one_at_a_time_ = false;
  double level_ = 0;
  /// Time up to which accrual is included in `level_`. In the future while accrual is suspended.
  absl::Time refilled_until_;
  sliding_window_sum recent_demand_;
  std::vector<starved_daemon> starved_;
};

}  // namespace teaseljunction
