#pragma once

#include <vector>

#include "manifest/types.h"
#include "shares/types.h"

namespace teaseljunction {

/// Returns the rate limits of the client accounts of a manifest that have one.
inline std::vector<account_rate> AccountRates(const manifest& source) {
  std::vector<account_rate> rates;
  for (const client_account& account : source.client_accounts) {
    if (account.rate > 0) rates.push_back({account.name, account.rate, account.burst});
  }
  return rates;
}

}  // namespace teaseljunction
