#pragma once

#include <string>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace teaseljunction {

/// Returns `text` in quotes for an error message: shortened, and in printable ASCII.
inline std::string Quote(absl::string_view text) {
  constexpr size_t max_quoted = 80;
  const bool whole = text.size() <= max_quoted;
  return absl::StrCat("\"", absl::CHexEscape(text.substr(0, max_quoted)), whole ? "\"" : "...\"");
}

}  // namespace teaseljunction
