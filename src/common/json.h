#pragma once

#include <nlohmann/json.hpp>

#include "absl/strings/string_view.h"
#include "common/result.h"

namespace teaseljunction {

/// Deepest nesting of arrays and objects that `ParseJson` accepts.
constexpr int kMaxJsonDepth = 32;

/// Parses a JSON text from outside the process. Copies of the result are made recursively, so the
/// nesting is limited. Errors: `kind`, for invalid or too deeply nested JSON.
result<nlohmann::json> ParseJson(absl::string_view text, error_kind kind);

}  // namespace teaseljunction
