#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "shares/types.h"

namespace teaseljunction {

/// Returns for how long a grant of this account may be used, measured on the owner's clock.
absl::Duration GrantLifetime(const account_rate& account);

/// Sums values over about the last second.
class second_sum {
 public:
  void Add(double value, absl::Time now);
  double Get(absl::Time now) const;

 private:
  absl::Time start_ = absl::InfinitePast();
  double current_ = 0;
  double previous_ = 0;
};

/// The bucket of one client account at the owner.
class token_bucket {
 public:
  token_bucket(const account_rate& account, absl::Time now);

  /// Changes the rate and the burst. Tokens up to the new capacity are kept.
  void Configure(const account_rate& account, absl::Time now);

  /// Removes all tokens. Accrual starts at `now`.
  void Empty(absl::Time now);

  /// Debits tokens for one daemon.
  token_grant Demand(const token_demand& demand, absl::Time now);

 private:
  /// A daemon that was granted nothing, known only by its number of missed requests.
  struct starved_daemon {
    uint32_t missed;
    absl::Time since;
  };

  void Refill(absl::Time now);
  void ForgetStarved(uint32_t missed, absl::Time now);
  /// Returns the number of tokens that are kept for daemons with more missed requests.
  double Reserve(uint32_t missed) const;
  uint32_t Share(const token_demand& demand, double demanded) const;
  absl::Duration RetryAfter(double reserve, absl::Time now) const;

  account_rate account_;
  absl::Duration lifetime_;
  double capacity_ = 0;
  /// True when tokens are granted one at a time. See `share_owner`.
  bool serial_ = false;
  double level_ = 0;
  /// Time up to which accrual is included in `level_`. In the future while accrual is suspended.
  absl::Time refilled_;
  second_sum demanded_;
  std::vector<starved_daemon> starved_;
};

}  // namespace teaseljunction
