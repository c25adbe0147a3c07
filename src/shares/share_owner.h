#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "shares/types.h"

namespace teaseljunction {

class token_bucket;

/// Owns the token buckets of all client accounts. One instance runs at the leader of the control
/// group. Rates hold on the owner's clock.
///
/// Bound: grants conform to a token bucket with rate r and capacity B' = burst - r * t, where t is
/// the lifetime of a grant. A token that is used in a window of length w was granted in a window of
/// length w + t, so at most B' + r * (w + t) = burst + r * w tokens are used. A tolerance d adds up
/// to min(d, r * t) to B' and to the bound. Where B' is below one token (bursts below 2), tokens
/// are granted one at a time and the bucket refills only after the lifetime of the last grant; two
/// uses are then at least 1 / r apart. Such an account gets a rate of r / (1 + r * t).
///
/// Not thread-safe. Times must not go back.
class share_owner {
 public:
  share_owner();
  ~share_owner();

  /// Replaces the accounts. Buckets of accounts that remain keep their content, up to the new
  /// capacity. An account that is new in a running term starts with an empty bucket.
  void SetAccounts(absl::Span<const account_rate> accounts, absl::Time now);

  /// Begins to grant. All buckets are empty and fill from `now`. The caller must have waited until
  /// the lease of the former leader has expired.
  void StartTerm(absl::Time now);

  /// Stops granting.
  void EndTerm();

  /// Debits tokens for one daemon and returns them. Grants nothing outside a term and to unknown
  /// accounts; `retry_after` is then one second. When more calls wait than there are tokens, each
  /// daemon gets its proportion, and daemons that got none before come first. Tokens for a stock
  /// are granted only from the last quarter of a full bucket.
  token_grant Demand(const token_demand& demand, absl::Time now);

 private:
  bool in_term_ = false;
  absl::flat_hash_map<std::string, token_bucket> buckets_;
};

}  // namespace teaseljunction
