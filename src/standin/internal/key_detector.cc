#include "standin/key_detector.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace teaseljunction {
namespace {

// Prefix of the keys that `teaseljunction key new` generates.
constexpr absl::string_view kKeyPrefix = "tjk_";
constexpr std::array<absl::string_view, 7> kKeyHeaders = {
    "authorization", "proxy-authorization", "cookie", "x-api-key", "api-key",
    "x-auth-token",  "teaseljunction-key"};

}  // namespace

std::vector<std::string> FindKeyLikeHeaders(const standin_request& request) {
  std::vector<std::string> found;
  for (const http_header& header : request.headers) {
    const std::string name = absl::AsciiStrToLower(header.name);
    const bool named_so =
        std::find(kKeyHeaders.begin(), kKeyHeaders.end(), name) != kKeyHeaders.end();
    if (named_so || absl::StrContains(header.value, kKeyPrefix)) found.push_back(name);
  }
  if (absl::StrContains(request.path, kKeyPrefix)) found.emplace_back("query");
  if (absl::StrContains(request.body, kKeyPrefix)) found.emplace_back("body");
  return found;
}

}  // namespace teaseljunction
