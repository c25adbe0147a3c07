#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "shares/types.h"

namespace teaseljunction {

class token_bucket;

/// Allocates the tokens of all client accounts to the daemons. One instance runs at the leader of
/// the control group. Rates hold on the allocator's clock.
///
/// Bound: grants conform to a token bucket with rate r and capacity B' = burst - r * t, where t is
/// the lifetime of a grant. A token that is used in a window of length w was granted in a window of
/// length w + t, so at most B' + r * (w + t) = burst + r * w tokens are used. A tolerance d adds up
/// to min(d, r * t) to B' and to the bound. Where B' is below one token (bursts below 2), tokens
/// are granted one at a time and the bucket refills only after the lifetime of the last grant; two
/// uses are then at least 1 / r apart. Such an account gets a rate of r / (1 + r * t).
///
/// Not thread-safe. The times passed must not decrease.
class token_allocator {
 public:
  token_allocator();
  ~token_allocator();

  /// Replaces the accounts. Buckets of remaining accounts keep their tokens, up to the new
  /// capacity. Buckets of new accounts start empty.
  void SetAccounts(absl::Span<const account_rate> accounts, absl::Time now);

  /// Starts granting. All buckets are emptied and fill from `now`. The caller must have waited
  /// until the previous leader's lease has expired.
  void StartTerm(absl::Time now);

  /// Stops granting.
  void EndTerm();

  /// Debits tokens for one daemon and returns them. Grants nothing outside a term and for unknown
  /// accounts; `retry_after` is then one second. When more calls are waiting than there are tokens,
  /// each daemon gets its proportion, and daemons that got none before come first. Prefetched
  /// tokens are granted only while the bucket is more than three quarters full.
  token_grant Grant(const token_demand& demand, absl::Time now);

 private:
  bool in_term_ = false;
  absl::flat_hash_map<std::string, token_bucket> buckets_;
};

}  // namespace teaseljunction
