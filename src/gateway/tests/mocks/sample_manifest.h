#pragma once

#include <memory>

#include "common/digest.h"
#include "manifest/manifest_index.h"

namespace teaseljunction {

/// API key of the account "builder" in the sample manifest.
inline constexpr char kSampleKey[] = "key-of-builder-0123456789";

/// Returns a manifest with one account and three routes: one idempotent, one non-idempotent and one
/// open.
inline std::shared_ptr<const manifest_index> SampleManifest(uint64_t version = 1) {
  manifest sample;
  sample.version = version;
  sample.client_accounts = {{"builder", 1000, 1000, {KeyDigest(kSampleKey)}}};
  sample.services = {{"stock", 0, 0.1}, {"orders", 0, 0.1}};
  route lookup{"lookup", "GET", "/stock/*", "stock", request_priority::kNormal};
  lookup.idempotent = true;
  lookup.max_attempts = 8;
  route order{"order", "POST", "/orders", "orders", request_priority::kCritical};
  route status{"status", "GET", "/status", "stock", request_priority::kLow};
  status.idempotent = true;
  status.open = true;
  sample.routes = {lookup, order, status};
  return std::make_shared<const manifest_index>(std::move(sample));
}

}  // namespace teaseljunction
