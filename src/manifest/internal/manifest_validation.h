#pragma once

#include <string>

#include "absl/types/optional.h"
#include "manifest/types.h"

namespace teaseljunction {

/// Returns a message with the field path and the reason of the first error in `source`, or nothing
/// when the manifest is valid.
absl::optional<std::string> FindManifestError(const manifest& source);

}  // namespace teaseljunction
