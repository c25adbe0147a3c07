#pragma once

#include <string>

#include "absl/types/optional.h"
#include "manifest/types.h"

namespace teaseljunction {

/// Returns the place and the first fault of a manifest, or nothing when it is valid.
absl::optional<std::string> FindManifestFault(const manifest& source);

}  // namespace teaseljunction
