#include "common/types.h"

#include <array>

#include "absl/hash/hash.h"
#include "absl/strings/match.h"

namespace teaseljunction {
namespace {

constexpr std::array<absl::string_view, kPriorityCount> kPriorityNames = {"critical", "high",
                                                                          "normal", "low"};
constexpr uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr uint64_t kFnvPrime = 0x100000001b3;

// FNV-1a, because the cohort must be the same in every process and absl::Hash is seeded per
// process.
uint64_t HashBytes(uint64_t hash, absl::string_view text) {
  for (const char byte : text) hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  return hash;
}

}  // namespace

absl::string_view PriorityName(request_priority priority) {
  return kPriorityNames[static_cast<size_t>(priority)];
}

absl::optional<request_priority> ParsePriority(absl::string_view name) {
  for (size_t i = 0; i < kPriorityNames.size(); ++i) {
    if (kPriorityNames[i] == name) return static_cast<request_priority>(i);
  }
  return absl::nullopt;
}

uint8_t CohortOf(absl::string_view client_account, absl::string_view request_id) {
  const uint64_t hash = HashBytes(HashBytes(kFnvOffset, client_account), request_id);
  return static_cast<uint8_t>((hash ^ (hash >> 32)) % kCohortCount);
}

absl::optional<absl::string_view> FindHeader(const std::vector<http_header>& headers,
                                             absl::string_view name) {
  for (const http_header& header : headers) {
    if (absl::EqualsIgnoreCase(header.name, name)) return absl::string_view(header.value);
  }
  return absl::nullopt;
}

}  // namespace teaseljunction
