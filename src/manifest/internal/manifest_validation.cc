#include "manifest/internal/manifest_validation.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "manifest/internal/quote.h"

namespace teaseljunction {
namespace {

using optional_error = absl::optional<std::string>;

constexpr size_t kMaxAccounts = 10'000;
constexpr size_t kMaxServices = 1'000;
constexpr size_t kMaxRoutes = 10'000;
constexpr size_t kMaxKeyDigests = 1'000;
constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxPathBytes = 1'024;
constexpr double kMaxRate = 1e9;
constexpr uint32_t kMaxConcurrency = 1'000'000;
constexpr absl::Duration kMaxTimeout = absl::Minutes(10);
constexpr uint32_t kMaxAttempts = 1'000;
constexpr absl::string_view kDigestPrefix = "sha256:";
constexpr size_t kDigestHexDigits = 64;
// Prefix of the daemon's own endpoints.
constexpr absl::string_view kReservedPrefix = "/teaseljunction/";
constexpr std::array<absl::string_view, 6> kMethods = {"GET", "HEAD",  "POST",
                                                       "PUT", "PATCH", "DELETE"};

bool IsDigitOrLower(char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= '0' && byte <= '9');
}

bool IsName(absl::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char byte) { return IsDigitOrLower(byte) || byte == '-'; });
}

bool IsDigest(absl::string_view text) {
  if (!absl::StartsWith(text, kDigestPrefix)) return false;
  const absl::string_view digits = text.substr(kDigestPrefix.size());
  return digits.size() == kDigestHexDigits &&
         std::all_of(digits.begin(), digits.end(), [](char byte) {
           return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'f');
         });
}

// The names of one list, each with the path of the object that has it. Rejects duplicates.
class name_registry {
 public:
  optional_error Add(absl::string_view name, const std::string& field_path) {
    if (!IsName(name)) {
      return absl::StrCat(field_path, ": ", Quote(name),
                          " is not a name; expected 1 to 64 of a-z, 0-9 and \"-\"");
    }
    const auto inserted = first_use_paths_.emplace(name, field_path);
    if (inserted.second) return absl::nullopt;
    return absl::StrCat(field_path, ": ", Quote(name), " is already used by ",
                        inserted.first->second);
  }
  bool Contains(absl::string_view name) const { return first_use_paths_.contains(name); }

 private:
  absl::flat_hash_map<absl::string_view, std::string> first_use_paths_;
};

optional_error CheckSize(absl::string_view field_path, size_t size, size_t max) {
  if (size <= max) return absl::nullopt;
  return absl::StrCat(field_path, ": has ", size, " entries; the limit is ", max);
}

// `min` must not be negative. Negative zero is rejected as well, because two manifests with the
// same meaning would then have different digests.
optional_error CheckRange(absl::string_view field_path, double value, double min, double max) {
  if (!std::signbit(value) && value >= min && value <= max) return absl::nullopt;
  return absl::StrCat(field_path, ": must be in ", min, " to ", max, ", found ", value);
}

using digest_registry = absl::flat_hash_map<absl::string_view, std::string>;

optional_error CheckKeyDigests(const client_account& account, const std::string& field_path,
                               digest_registry& digests) {
  if (optional_error found = CheckSize(field_path, account.key_digests.size(), kMaxKeyDigests)) {
    return found;
  }
  for (size_t i = 0; i < account.key_digests.size(); ++i) {
    const std::string digest_path = absl::StrCat(field_path, "[", i, "]");
    const std::string& digest = account.key_digests[i];
    // The message omits the value, which may be a key that was pasted by mistake.
    if (!IsDigest(digest)) {
      return absl::StrCat(digest_path,
                          ": expected \"sha256:\" and 64 lower-case hexadecimal digits");
    }
    const auto inserted = digests.emplace(digest, digest_path);
    if (!inserted.second) {
      return absl::StrCat(digest_path, ": the digest is already used by ", inserted.first->second);
    }
  }
  return absl::nullopt;
}

optional_error CheckAccount(const client_account& account, const std::string& field_path,
                            name_registry& names, digest_registry& digests) {
  if (optional_error found = names.Add(account.name, absl::StrCat(field_path, ".name"))) {
    return found;
  }
  if (!(account.rate > 0) || account.rate > kMaxRate) {
    return absl::StrCat(field_path, ".rate: must be above 0 and at most ", kMaxRate, ", found ",
                        account.rate);
  }
  if (optional_error found =
          CheckRange(absl::StrCat(field_path, ".burst"), account.burst, 1, kMaxRate)) {
    return found;
  }
  return CheckKeyDigests(account, absl::StrCat(field_path, ".keyDigests"), digests);
}

optional_error CheckService(const service& checked, const std::string& field_path,
                            name_registry& names) {
  if (optional_error found = names.Add(checked.name, absl::StrCat(field_path, ".name"))) {
    return found;
  }
  if (optional_error found = CheckRange(absl::StrCat(field_path, ".maxConcurrency"),
                                        checked.max_concurrency, 0, kMaxConcurrency)) {
    return found;
  }
  return CheckRange(absl::StrCat(field_path, ".retryRatio"), checked.retry_ratio, 0, 1);
}

// Path characters of RFC 3986 without "%", because routes are matched against decoded paths. "*" is
// left out too, since it marks a prefix route.
bool IsPathCharacter(char byte) {
  return IsDigitOrLower(byte) || (byte >= 'A' && byte <= 'Z') ||
         absl::StrContains("-._~!$&'()+,;=:@/", byte);
}

optional_error CheckPath(const std::string& path, const std::string& field_path) {
  absl::string_view literal_part = path;
  const bool prefix = absl::EndsWith(literal_part, "/*");
  if (prefix) literal_part.remove_suffix(1);
  if (!absl::StartsWith(path, "/") || path.size() > kMaxPathBytes ||
      !std::all_of(literal_part.begin(), literal_part.end(), IsPathCharacter)) {
    return absl::StrCat(field_path, ": ", Quote(path),
                        " is not a path; expected \"/\" and unencoded path characters, at most ",
                        kMaxPathBytes, " bytes, with \"*\" only as a final \"/*\"");
  }
  if (absl::StartsWith(literal_part, kReservedPrefix) || literal_part == "/teaseljunction") {
    return absl::StrCat(field_path, ": paths below \"/teaseljunction\" are reserved");
  }
  const std::vector<absl::string_view> segments = absl::StrSplit(literal_part.substr(1), '/');
  for (size_t i = 0; i < segments.size(); ++i) {
    const bool last = i + 1 == segments.size();
    if (segments[i] == "." || segments[i] == ".." || (segments[i].empty() && !last)) {
      return absl::StrCat(field_path, ": ", Quote(path), " has an empty or a dot segment");
    }
  }
  return absl::nullopt;
}

optional_error CheckRouteLimits(const route& checked, const std::string& field_path) {
  if (optional_error found = CheckRange(absl::StrCat(field_path, ".timeoutMs"),
                                        absl::ToDoubleMilliseconds(checked.timeout), 1,
                                        absl::ToDoubleMilliseconds(kMaxTimeout))) {
    return found;
  }
  return CheckRange(absl::StrCat(field_path, ".maxAttempts"), checked.max_attempts, 1,
                    kMaxAttempts);
}

// State shared by the checks of all routes. `first_use_paths` maps "METHOD path" to the first route
// that has it.
struct route_validation_context {
  const name_registry& services;
  name_registry names;
  absl::flat_hash_map<std::string, std::string> first_use_paths;
};

optional_error CheckRoute(const route& checked, const std::string& field_path,
                          route_validation_context& context) {
  if (optional_error found = context.names.Add(checked.name, absl::StrCat(field_path, ".name"))) {
    return found;
  }
  if (std::find(kMethods.begin(), kMethods.end(), checked.method) == kMethods.end()) {
    return absl::StrCat(field_path, ".method: unknown method ", Quote(checked.method),
                        "; expected one of ", absl::StrJoin(kMethods, ", "));
  }
  if (optional_error found = CheckPath(checked.path, absl::StrCat(field_path, ".path"))) {
    return found;
  }
  if (!context.services.Contains(checked.service)) {
    return absl::StrCat(field_path, ".service: no service is named ", Quote(checked.service));
  }
  const auto inserted =
      context.first_use_paths.emplace(absl::StrCat(checked.method, " ", checked.path), field_path);
  if (!inserted.second) {
    return absl::StrCat(field_path, ".path: ", inserted.first->first, " is already used by ",
                        inserted.first->second);
  }
  return CheckRouteLimits(checked, field_path);
}

optional_error CheckAccounts(const manifest& source) {
  name_registry names;
  digest_registry digests;
  for (size_t i = 0; i < source.client_accounts.size(); ++i) {
    const std::string field_path = absl::StrCat("clientAccounts[", i, "]");
    optional_error found = CheckAccount(source.client_accounts[i], field_path, names, digests);
    if (found.has_value()) return found;
  }
  return absl::nullopt;
}

optional_error CheckServicesAndRoutes(const manifest& source) {
  name_registry services;
  for (size_t i = 0; i < source.services.size(); ++i) {
    optional_error found =
        CheckService(source.services[i], absl::StrCat("services[", i, "]"), services);
    if (found.has_value()) return found;
  }
  route_validation_context context{services, {}, {}};
  for (size_t i = 0; i < source.routes.size(); ++i) {
    optional_error found = CheckRoute(source.routes[i], absl::StrCat("routes[", i, "]"), context);
    if (found.has_value()) return found;
  }
  return absl::nullopt;
}

}  // namespace

optional_error FindManifestError(const manifest& source) {
  if (source.version < 1) return std::string("version: must be at least 1");
  if (optional_error found =
          CheckSize("clientAccounts", source.client_accounts.size(), kMaxAccounts)) {
    return found;
  }
  if (optional_error found = CheckSize("services", source.services.size(), kMaxServices)) {
    return found;
  }
  if (optional_error found = CheckSize("routes", source.routes.size(), kMaxRoutes)) return found;
  if (optional_error found = CheckAccounts(source)) return found;
  return CheckServicesAndRoutes(source);
}

}  // namespace teaseljunction
