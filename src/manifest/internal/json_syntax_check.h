#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"

namespace teaseljunction {

/// Checks that `text` is a single JSON value as defined by RFC 8259, with bounded nesting and
/// numbers in the range of a double. Returns a message with the field path, line, column and reason
/// of the first error, or nothing. Runs before Cap'n Proto's parser, which reports no position and
/// accepts more than the RFC allows.
absl::optional<std::string> FindJsonSyntaxError(absl::string_view text);

}  // namespace teaseljunction
