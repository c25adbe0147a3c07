#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace teaseljunction {

/// Rate limit of a client account over the whole fleet.
struct account_rate {
  std::string client_account;
  /// Requests per second.
  double rate = 0;
  /// Requests that may be run at once.
  double burst = 0;
  /// Requests that may be run beyond rate and burst in any window. They make up for the lifetime of
  /// grants, so that an account gets its whole burst.
  double tolerance = 0;
};

/// A daemon's request for tokens of one client account.
struct token_demand {
  std::string client_account;
  uint32_t tokens = 0;
  /// The part of `tokens` that is for calls that already wait.
  uint32_t waiting = 0;
  /// Number of requests in a row that granted this daemon no token. The owner serves the daemon
  /// with the highest number first when tokens are scarce.
  uint32_t missed = 0;
};

/// Tokens that the owner has debited for one daemon.
struct token_grant {
  std::string client_account;
  uint32_t tokens = 0;
  /// Counted from the time at which the daemon sent its request.
  absl::Duration lifetime;
  /// Time until the owner expects to have tokens again, for Retry-After. Zero when tokens were
  /// granted.
  absl::Duration retry_after;
  /// True while the account uses most of its rate. Daemons then request no reserve, because unused
  /// tokens expire.
  bool scarce = false;
};

}  // namespace teaseljunction
