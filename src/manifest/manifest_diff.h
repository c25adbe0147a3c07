#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "manifest/types.h"

namespace teaseljunction {

/// What happened to an object, a field or a list item.
enum class change_kind : uint8_t { kAdded, kRemoved, kChanged };

/// A difference between two manifests.
struct manifest_change {
  change_kind kind = change_kind::kChanged;
  /// "manifest", "clientAccount", "service" or "route".
  std::string object;
  /// Name of the client account, service or route. Empty for the manifest itself.
  std::string name;
  /// JSON name of the changed field. Empty when the whole object was added or removed.
  std::string field;
  /// JSON values before and after the change. Empty where the field or list item does not exist.
  std::string before;
  std::string after;
};

/// Returns the differences between two manifests: those of the manifest itself, then of client
/// accounts, services and routes, which are matched by name. Their order makes no difference. An
/// empty list means that both manifests have the same meaning. Compares only the fields of the JSON
/// format of manifest_codec.h.
std::vector<manifest_change> DiffManifests(const manifest& before, const manifest& after);

/// Returns one line of text for each change, ended by a newline.
std::string FormatChanges(absl::Span<const manifest_change> changes);

}  // namespace teaseljunction
