#pragma once

#include <functional>

#include "absl/strings/string_view.h"
#include "common/result.h"
#include "manifest/types.h"

namespace teaseljunction {

/// Decodes and validates the text of a manifest. The replicated log stores the text as submitted,
/// so a deployment can replace the JSON format by its own. Errors: kManifestInvalid with a detail.
using manifest_decoder = std::function<result<manifest>(absl::string_view)>;

}  // namespace teaseljunction
