#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "shares/types.h"

namespace teaseljunction {

class account_token_cache;

/// A daemon's cache of granted tokens, for all client accounts. `now` must come from a monotonic
/// clock that also counts the time during which the host is suspended.
///
/// Each sync requests one token for each waiting call, and prefetches tokens according to the
/// observed demand. Calls that find no token may wait for the next sync; `NeedsEarlySync` says when
/// that sync should be sent early.
///
/// Not thread-safe. The times passed must not decrease.
class token_cache {
 public:
  token_cache();
  ~token_cache();

  /// Replaces the accounts. Drops the tokens of removed accounts and of accounts whose rate or
  /// burst changed.
  void SetAccounts(absl::Span<const account_rate> accounts, absl::Time now);

  /// Takes one token for a request. Returns false when there is no unexpired token, and for unknown
  /// accounts.
  bool TryTake(absl::string_view account, absl::Time now);

  /// Records that the allocator cannot be reached. For a short time, long enough for another leader
  /// to take over, `TryTakeFallback` then lets requests through at most of the previous rate, so
  /// that accounts within their rates are still served while the allocator's host is down,
  /// suspended or partitioned. Further calls before `OnAllocatorRestored` have no effect.
  void OnAllocatorLost(absl::Time now);

  /// Records that the allocator can be reached again.
  void OnAllocatorRestored() { allocator_lost_at_.reset(); }

  /// Takes one fallback token while the allocator cannot be reached. Returns false when the
  /// allocator is reachable, when the fallback period is over, and when this daemon's share of the
  /// rate is used up.
  bool TryTakeFallback(absl::string_view account, absl::Time now);

  /// Counts a call that waits for a token. The caller repeats `TryTake` for it after each
  /// `ApplyGrants`.
  void AddWaiting(absl::string_view account);

  /// Ends the wait of a call, with or without a token.
  void RemoveWaiting(absl::string_view account);

  /// Returns the demands for a sync that is sent at `now`. The caller passes that time to
  /// `ApplyGrants` with the response.
  std::vector<token_demand> CollectDemands(absl::Time now);

  /// True when a sync should be sent before the regular one, because calls are waiting or the
  /// cached tokens are about to run out. The caller limits the rate of early syncs.
  bool NeedsEarlySync(absl::Time now) const;

  /// Adds the tokens of a response to the request that was sent at `request_sent_at`. Ignores
  /// duplicate responses and responses to earlier requests.
  void ApplyGrants(absl::Span<const token_grant> grants, absl::Time request_sent_at,
                   absl::Time now);

  /// Returns the time after which a refused caller should retry: at least 1 ms, and 1 s for unknown
  /// accounts.
  absl::Duration RetryAfter(absl::string_view account, absl::Time now) const;

 private:
  absl::flat_hash_map<std::string, account_token_cache> accounts_;
  /// Send time of the latest request whose response was applied.
  absl::Time last_applied_request_ = absl::InfinitePast();
  absl::optional<absl::Time> allocator_lost_at_;
};

}  // namespace teaseljunction
