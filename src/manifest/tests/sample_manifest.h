#pragma once

#include <string>

#include "absl/strings/str_replace.h"
#include "absl/strings/string_view.h"

namespace teaseljunction {

/// Returns the JSON text of a small valid manifest. Each key digest is "sha256:" and one
/// hexadecimal digit repeated 64 times.
inline std::string SampleManifest() {
  constexpr absl::string_view text = R"({
  "version": 7,
  "clientAccounts": [
    {"name": "alpha", "rate": 100, "burst": 50.5, "keyDigests": ["sha256:A", "sha256:B"]},
    {"name": "beta", "rate": 0.5, "burst": 1}
  ],
  "services": [{"name": "orders", "retryRatio": 0.2}, {"name": "quoting"}],
  "routes": [
    {"name": "new-order", "method": "POST", "path": "/orders", "service": "orders",
     "priority": "critical", "timeoutMs": 2500},
    {"name": "quote", "method": "GET", "path": "/quotes/*", "service": "quoting",
     "idempotent": true},
    {"name": "price", "method": "GET", "path": "/quotes/prices/*", "service": "orders",
     "idempotent": true, "open": true},
    {"name": "today", "method": "GET", "path": "/quotes/prices/today", "service": "quoting",
     "idempotent": true}
  ]
})";
  return absl::StrReplaceAll(text, {{"sha256:A", "sha256:" + std::string(64, 'a')},
                                    {"sha256:B", "sha256:" + std::string(64, 'b')}});
}

}  // namespace teaseljunction
