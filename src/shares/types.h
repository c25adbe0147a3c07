#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace teaseljunction {

/// Rate limit of a client account, enforced over all daemons together.
struct account_rate {
  std::string client_account;
  /// Requests per second.
  double rate = 0;
  /// Largest number of requests that may run at once.
  double burst = 0;
  /// Requests that may run beyond rate and burst in any window. They compensate for the capacity
  /// that is set aside for outstanding grants, so that an account gets its whole burst.
  double tolerance = 0;
};

/// A daemon's request for tokens of one client account.
struct token_demand {
  std::string client_account;
  uint32_t tokens = 0;
  /// The part of `tokens` that is for calls that are already waiting.
  uint32_t waiting_calls = 0;
  /// Number of consecutive requests for which this daemon got no token. When tokens are scarce, the
  /// daemon with the highest number is served first.
  uint32_t consecutive_denials = 0;
};

/// Tokens debited from the account's bucket for one daemon.
struct token_grant {
  std::string client_account;
  uint32_t tokens = 0;
  /// Counted from the time at which the daemon sent its request.
  absl::Duration lifetime;
  /// Time until tokens are expected to be available again, for Retry-After. Zero when tokens were
  /// granted.
  absl::Duration retry_after;
  /// True while the account uses most of its rate. Daemons then prefetch fewer tokens, because
  /// unused tokens expire.
  bool scarce = false;
};

}  // namespace teaseljunction
