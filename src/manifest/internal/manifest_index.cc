#include "manifest/manifest_index.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/types/optional.h"
#include "manifest/manifest_codec.h"

namespace teaseljunction {
namespace {

constexpr std::array<absl::string_view, 6> kMethods = {"GET", "HEAD",  "POST",
                                                       "PUT", "PATCH", "DELETE"};

bool IsUnreserved(char byte) {
  return absl::ascii_isalnum(static_cast<unsigned char>(byte)) || absl::StrContains("-._~", byte);
}

// Decodes percent-encoded unreserved characters (RFC 3986, section 6.2.2.2) and leaves all others
// encoded. Returns nothing when a percent-encoding is malformed.
absl::optional<std::string> DecodeUnreservedCharacters(absl::string_view path) {
  std::string decoded;
  decoded.reserve(path.size());
  for (size_t i = 0; i < path.size(); ++i) {
    if (path[i] != '%') {
      decoded.push_back(path[i]);
      continue;
    }
    const absl::string_view digits = path.substr(std::min(i + 1, path.size()), 2);
    uint32_t code = 0;
    if (digits.size() != 2 || !absl::ascii_isxdigit(static_cast<unsigned char>(digits[0])) ||
        !absl::SimpleHexAtoi(digits, &code)) {
      return absl::nullopt;
    }
    const char byte = static_cast<char>(code);
    if (IsUnreserved(byte)) {
      decoded.push_back(byte);
    } else {
      absl::StrAppend(&decoded, path.substr(i, 3));
    }
    i += 2;
  }
  return decoded;
}

bool HasDotOrEmptySegment(absl::string_view path) {
  return absl::StrContains(path, "//") || absl::StrContains(path, "/./") ||
         absl::StrContains(path, "/../") || absl::EndsWith(path, "/.") ||
         absl::EndsWith(path, "/..");
}

}  // namespace

manifest_index::manifest_index(manifest source)
    : manifest_index(source, ManifestDigest(source), EncodeManifest(source)) {}

manifest_index::manifest_index(manifest source, std::string digest, std::string content)
    : manifest_(std::move(source)), content_(std::move(content)), digest_(std::move(digest)) {
  for (const client_account& account : manifest_.client_accounts) {
    accounts_by_name_.emplace(account.name, &account);
    for (const std::string& digest : account.key_digests) {
      accounts_by_key_digest_.emplace(digest, &account);
    }
  }
  for (const service& entry : manifest_.services) services_by_name_.emplace(entry.name, &entry);
  for (const route& entry : manifest_.routes) {
    absl::string_view path = entry.path;
    const bool prefix = absl::EndsWith(path, "/*");
    if (prefix) path.remove_suffix(1);
    (prefix ? prefix_routes_ : exact_routes_)
        .emplace(route_key(path, entry.method, entry.host), &entry);
    if (prefix) longest_prefix_bytes_ = std::max(longest_prefix_bytes_, path.size());
  }
}

const client_account* manifest_index::FindAccountByKeyDigest(absl::string_view digest) const {
  const auto found = accounts_by_key_digest_.find(digest);
  return found == accounts_by_key_digest_.end() ? nullptr : found->second;
}

const client_account* manifest_index::FindAccount(absl::string_view name) const {
  const auto found = accounts_by_name_.find(name);
  return found == accounts_by_name_.end() ? nullptr : found->second;
}

const service* manifest_index::FindService(absl::string_view name) const {
  const auto found = services_by_name_.find(name);
  return found == services_by_name_.end() ? nullptr : found->second;
}

const route* manifest_index::FindInTable(const route_table& table, absl::string_view host,
                                         absl::string_view method, absl::string_view path) const {
  for (const absl::string_view candidate_host : {host, absl::string_view()}) {
    for (const absl::string_view candidate_method : {method, absl::string_view()}) {
      const auto found = table.find(route_key(path, candidate_method, candidate_host));
      if (found != table.end()) return found->second;
    }
  }
  return nullptr;
}

const route* manifest_index::FindByNormalisedPath(absl::string_view host, absl::string_view method,
                                                  absl::string_view path) const {
  if (!exact_routes_.empty()) {
    const route* exact = FindInTable(exact_routes_, host, method, path);
    if (exact != nullptr) return exact;
  }
  // Prefix routes are tried from the longest to the shortest. Starting at the length of the longest
  // prefix in the manifest bounds the work for long paths.
  absl::string_view prefix = path.substr(0, longest_prefix_bytes_);
  while (true) {
    const size_t slash = prefix.rfind('/');
    if (slash == absl::string_view::npos) return nullptr;
    prefix = prefix.substr(0, slash + 1);
    const route* found = FindInTable(prefix_routes_, host, method, prefix);
    if (found != nullptr) return found;
    prefix.remove_suffix(1);
  }
}

route_match manifest_index::FindRoute(absl::string_view host, absl::string_view method,
                                      absl::string_view path) const {
  route_match match;
  absl::optional<std::string> decoded;
  if (!manifest_.literal_paths && absl::StrContains(path, '%')) {
    decoded = DecodeUnreservedCharacters(path);
    if (!decoded.has_value()) return match;
    path = *decoded;
  }
  if (!manifest_.literal_paths && HasDotOrEmptySegment(path)) return match;
  match.matched = FindByNormalisedPath(host, method, path);
  if (match.matched != nullptr) {
    match.matched_service = FindService(match.matched->service);
    return match;
  }
  for (const absl::string_view other : kMethods) {
    if (FindByNormalisedPath(host, other, path) == nullptr) continue;
    absl::StrAppend(&match.allowed_methods, match.allowed_methods.empty() ? "" : ", ", other);
  }
  if (!match.allowed_methods.empty()) match.failure = error_kind::kMethodNotAllowed;
  return match;
}

}  // namespace teaseljunction
