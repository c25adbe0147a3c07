#pragma once

#include <cstddef>
#include <string>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"

namespace teaseljunction {

/// The quarantined requests that this daemon knows. Entries are only added, so the size tells the
/// leader which entries are missing. Not thread-safe.
class quarantine_list {
 public:
  /// Adds a fingerprint. Returns false when it was in the list already.
  bool Add(absl::string_view fingerprint) { return fingerprints_.emplace(fingerprint).second; }

  /// True when requests with this fingerprint are refused.
  bool Contains(absl::string_view fingerprint) const { return fingerprints_.contains(fingerprint); }

  size_t Size() const { return fingerprints_.size(); }

 private:
  absl::flat_hash_set<std::string> fingerprints_;
};

}  // namespace teaseljunction
