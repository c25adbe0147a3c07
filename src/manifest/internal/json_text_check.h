#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"

namespace teaseljunction {

/// Checks that `text` is one JSON value by RFC 8259 with bounded nesting and numbers in the range
/// of a double. Returns the place and the fault, or nothing. It precedes Cap'n Proto's parser,
/// which reports no place and accepts more than the RFC.
absl::optional<std::string> FindJsonTextFault(absl::string_view text);

}  // namespace teaseljunction
