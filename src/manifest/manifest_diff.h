#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "manifest/types.h"

namespace teaseljunction {

enum class change_kind : uint8_t { kAdded, kRemoved, kChanged };

/// One difference between two manifests.
struct manifest_change {
  change_kind kind = change_kind::kChanged;
  /// "manifest", "clientAccount", "service" or "route".
  std::string object;
  /// Name of the account, service or route. Empty for the manifest itself.
  std::string name;
  /// JSON name of the changed field. Empty when the whole object was added or removed.
  std::string field;
  /// JSON values before and after. Empty on the side where there is no value.
  std::string before;
  std::string after;
};

/// Returns the differences, objects matched by name, in the order manifest, accounts, services,
/// routes. An empty list means that both manifests have the same meaning.
std::vector<manifest_change> DiffManifests(const manifest& before, const manifest& after);

/// Returns one line of text per change, or an empty text.
std::string FormatChanges(absl::Span<const manifest_change> changes);

}  // namespace teaseljunction
