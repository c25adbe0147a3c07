#pragma once

#include <vector>

#include "manifest/types.h"
#include "shares/types.h"

namespace teaseljunction {

/// What may be run beyond the rate and burst of an account in any window.
struct rate_tolerance {
  /// Part of the requests that rate and burst allow in the window.
  double part = 0;
  absl::Duration window;
};

/// Returns the rate limits of the client accounts of a manifest that have one.
inline std::vector<account_rate> AccountRates(const manifest& source,
                                              const rate_tolerance& tolerance) {
  std::vector<account_rate> rates;
  for (const client_account& account : source.client_accounts) {
    if (account.rate > 0)
      rates.push_back({account.name, account.rate, account.burst,
                       tolerance.part * (account.rate * absl::ToDoubleSeconds(tolerance.window) +
                                         account.burst)});
  }
  return rates;
}

}  // namespace teaseljunction
