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

class account_share;

/// Holds a daemon's tokens. `now` must come from a clock that also counts the time during which the
/// host is suspended.
///
/// Tokens are requested with each sync: one for each waiting call, and a stock that follows the
/// observed demand. Calls that find no token may wait for the next sync; `Urgent` says when it
/// should be sent early.
///
/// Not thread-safe. Times must not go back.
class share_holder {
 public:
  share_holder();
  ~share_holder();

  /// Replaces the accounts. Tokens of accounts whose rate or burst changed and of removed accounts
  /// are dropped.
  void SetAccounts(absl::Span<const account_rate> accounts, absl::Time now);

  /// Takes one token for a request. False when there is none, or when all have expired.
  bool TryTake(absl::string_view account, absl::Time now);

  /// Tells that the owner cannot be asked. For a short time, which covers a change of the owner,
  /// `TakeStanding` then lets requests through at the rate of before. Answers the load of accounts
  /// inside their rates while the owner's host is down, frozen or cut off. Ignored when the owner
  /// is known to be lost.
  void OwnerLost(absl::Time now);

  /// Ends what `OwnerLost` began.
  void OwnerFound() { owner_lost_at_.reset(); }

  /// Takes one token while the owner cannot be asked. False when the owner is not lost, when the
  /// time for such tokens is over, and when the daemon's part of the rate is used up.
  bool TakeStanding(absl::string_view account, absl::Time now);

  /// Counts a call that waits for a token. It calls `TryTake` again after each `ApplyGrants`.
  void AddWaiting(absl::string_view account);

  /// Ends the wait of a call, with or without a token.
  void RemoveWaiting(absl::string_view account);

  /// Returns what the next sync requests. The caller sends it at `now` and passes that time to
  /// `ApplyGrants`.
  std::vector<token_demand> CollectDemands(absl::Time now);

  /// True when a sync should be sent before the regular one, because calls wait or the tokens will
  /// not last. The caller limits the rate of early syncs.
  bool Urgent(absl::Time now) const;

  /// Adds the tokens of a response to the request that was sent at `request_sent_at`. Responses to
  /// this request or an earlier one that come again are ignored.
  void ApplyGrants(absl::Span<const token_grant> grants, absl::Time request_sent_at,
                   absl::Time now);

  /// Returns after which time a refused caller should try again. At least 1 ms.
  absl::Duration RetryAfter(absl::string_view account, absl::Time now) const;

 private:
  absl::flat_hash_map<std::string, account_share> accounts_;
  /// Time of the last request whose response was applied.
  absl::Time last_applied_ = absl::InfinitePast();
  absl::optional<absl::Time> owner_lost_at_;
};

}  // namespace teaseljunction
