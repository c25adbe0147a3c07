#include "http/internal/headers.h"

#include <algorithm>
#include <array>

#include "absl/strings/match.h"

namespace teaseljunction {
namespace {

constexpr std::array<absl::string_view, 10> kTransferHeaders = {
    "Connection", "Content-Length",      "Expect",  "Keep-Alive",        "Proxy-Authenticate",
    "TE",         "Proxy-Authorization", "Trailer", "Transfer-Encoding", "Upgrade"};

}  // namespace

bool IsTransferHeader(absl::string_view name) {
  return std::any_of(kTransferHeaders.begin(), kTransferHeaders.end(),
                     [&](absl::string_view known) { return absl::EqualsIgnoreCase(name, known); });
}

bool IsHeaderText(absl::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte >= 0x20 && byte != 0x7f) || byte == '\t';
  });
}

}  // namespace teaseljunction
