#include "standin/key_detector.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace teaseljunction {
namespace {

// Prefix of the keys that `teaseljunction key new` generates.
constexpr absl::string_view kKeyPrefix = "tjk_";
constexpr std::array<absl::string_view, 7> kKeyHeaderNames = {
    "authorization", "proxy-authorization", "cookie", "x-api-key", "api-key",
    "x-auth-token",  "teaseljunction-key"};

}  // namespace

std::vector<std::string> FindKeyLocations(const standin_request& request) {
  std::vector<std::string> found;
  for (const http_header& header : request.headers) {
    const std::string name = absl::AsciiStrToLower(header.name);
    const bool is_key_header =
        std::find(kKeyHeaderNames.begin(), kKeyHeaderNames.end(), name) != kKeyHeaderNames.end();
    if (is_key_header || absl::StrContains(header.value, kKeyPrefix)) found.push_back(name);
  }
  if (absl::StrContains(request.path, kKeyPrefix)) found.emplace_back("query");
  if (absl::StrContains(request.body, kKeyPrefix)) found.emplace_back("body");
  return found;
}

}  // namespace teaseljunction
