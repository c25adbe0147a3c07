#pragma once

#include <string>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace teaseljunction {

/// Returns `text` in double quotes for an error message, escaped to printable ASCII. Text of more
/// than 80 bytes is truncated and ends with "...".
inline std::string Quote(absl::string_view text) {
  constexpr size_t max_quoted_bytes = 80;
  const bool fits = text.size() <= max_quoted_bytes;
  return absl::StrCat("\"", absl::CHexEscape(text.substr(0, max_quoted_bytes)),
                      fits ? "\"" : "...\"");
}

}  // namespace teaseljunction
