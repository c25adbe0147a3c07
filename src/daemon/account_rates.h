#pragma once

#include <vector>

#include "manifest/types.h"
#include "shares/types.h"

namespace teaseljunction {

/// Requests that may run beyond the rate and burst of a client account in any window.
struct rate_tolerance {
  /// Fraction of the requests that rate and burst allow in the window.
  double fraction = 0;
  absl::Duration window;
};

/// Returns the rate limits of all client accounts of the manifest that have one.
inline std::vector<account_rate> AccountRates(const manifest& config,
                                              const rate_tolerance& tolerance) {
  std::vector<account_rate> rates;
  for (const client_account& account : config.client_accounts) {
    if (account.rate > 0)
      rates.push_back(
          {account.name, account.rate, account.burst,
           tolerance.fraction *
               (account.rate * absl::ToDoubleSeconds(tolerance.window) + account.burst)});
  }
  return rates;
}

}  // namespace teaseljunction
