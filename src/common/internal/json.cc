#include "common/json.h"

#include "absl/strings/str_cat.h"

namespace teaseljunction {
namespace {

using nlohmann::json;

// Returns whether more than `kMaxJsonDepth` brackets outside strings are open at once. The result
// is meaningless for invalid JSON.
bool IsNestedTooDeeply(absl::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') in_string = !in_string;
    if (in_string) {
      if (c == '\\') ++i;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

}  // namespace

result<json> ParseJson(absl::string_view text, error_kind kind) {
  if (IsNestedTooDeeply(text)) {
    return Fail(kind, absl::StrCat("The JSON is nested deeper than ", kMaxJsonDepth, " levels."));
  }
  try {
    return json::parse(text.begin(), text.end());
  } catch (const json::exception& failure) {
    return Fail(kind, failure.what());
  }
}

}  // namespace teaseljunction
