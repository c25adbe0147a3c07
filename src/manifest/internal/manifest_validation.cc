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

using fault = absl::optional<std::string>;

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
// Paths of the daemon's own endpoints.
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

// Remembers names of one list and where they were first used.
class name_register {
 public:
  fault Add(absl::string_view name, const std::string& place) {
    if (!IsName(name)) {
      return absl::StrCat(place, ": ", Quote(name),
                          " is not a name; expected 1 to 64 of a-z, 0-9 and \"-\"");
    }
    const auto inserted = first_use_.emplace(name, place);
    if (inserted.second) return absl::nullopt;
    return absl::StrCat(place, ": ", Quote(name), " is already used by ", inserted.first->second);
  }
  bool Contains(absl::string_view name) const { return first_use_.contains(name); }

 private:
  absl::flat_hash_map<absl::string_view, std::string> first_use_;
};

fault CheckSize(absl::string_view place, size_t size, size_t max) {
  if (size <= max) return absl::nullopt;
  return absl::StrCat(place, ": has ", size, " entries; the limit is ", max);
}

// `min` is never negative. Negative zero is refused too, because it would give a second digest for
// the same meaning.
fault CheckRange(absl::string_view place, double value, double min, double max) {
  if (!std::signbit(value) && value >= min && value <= max) return absl::nullopt;
  return absl::StrCat(place, ": must be in ", min, " to ", max, ", found ", value);
}

using digest_register = absl::flat_hash_map<absl::string_view, std::string>;

fault CheckKeyDigests(const client_account& account, const std::string& place,
                      digest_register& digests) {
  if (fault found = CheckSize(place, account.key_digests.size(), kMaxKeyDigests)) return found;
  for (size_t i = 0; i < account.key_digests.size(); ++i) {
    const std::string at = absl::StrCat(place, "[", i, "]");
    const std::string& digest = account.key_digests[i];
    // The value is not repeated in the message, since it may be a key pasted by mistake.
    if (!IsDigest(digest)) {
      return absl::StrCat(at, ": expected \"sha256:\" and 64 lower-case hexadecimal digits");
    }
    const auto inserted = digests.emplace(digest, at);
    if (!inserted.second) {
      return absl::StrCat(at, ": the digest is already used by ", inserted.first->second);
    }
  }
  return absl::nullopt;
}

fault CheckAccount(const client_account& account, const std::string& place, name_register& names,
                   digest_register& digests) {
  if (fault found = names.Add(account.name, absl::StrCat(place, ".name"))) return found;
  if (!(account.rate > 0) || account.rate > kMaxRate) {
    return absl::StrCat(place, ".rate: must be above 0 and at most ", kMaxRate, ", found ",
                        account.rate);
  }
  if (fault found = CheckRange(absl::StrCat(place, ".burst"), account.burst, 1, kMaxRate)) {
    return found;
  }
  return CheckKeyDigests(account, absl::StrCat(place, ".keyDigests"), digests);
}

fault CheckService(const service& checked, const std::string& place, name_register& names) {
  if (fault found = names.Add(checked.name, absl::StrCat(place, ".name"))) return found;
  if (fault found = CheckRange(absl::StrCat(place, ".maxConcurrency"), checked.max_concurrency, 0,
                               kMaxConcurrency)) {
    return found;
  }
  return CheckRange(absl::StrCat(place, ".retryRatio"), checked.retry_ratio, 0, 1);
}

// Path characters by RFC 3986, without percent-encoding: routes are matched against the decoded
// form.
bool IsPathByte(char byte) {
  return IsDigitOrLower(byte) || (byte >= 'A' && byte <= 'Z') ||
         absl::StrContains("-._~!$&'()+,;=:@/", byte);
}

fault CheckPath(const std::string& path, const std::string& place) {
  absl::string_view fixed = path;
  const bool prefix = absl::EndsWith(fixed, "/*");
  if (prefix) fixed.remove_suffix(1);
  if (!absl::StartsWith(path, "/") || path.size() > kMaxPathBytes ||
      !std::all_of(fixed.begin(), fixed.end(), IsPathByte)) {
    return absl::StrCat(place, ": ", Quote(path),
                        " is not a path; expected \"/\" and unencoded path characters, at most ",
                        kMaxPathBytes, " bytes, with \"*\" only as a final \"/*\"");
  }
  if (absl::StartsWith(fixed, kReservedPrefix) || fixed == "/teaseljunction") {
    return absl::StrCat(place, ": paths below \"/teaseljunction\" are reserved");
  }
  const std::vector<absl::string_view> segments = absl::StrSplit(fixed.substr(1), '/');
  for (size_t i = 0; i < segments.size(); ++i) {
    const bool last = i + 1 == segments.size();
    if (segments[i] == "." || segments[i] == ".." || (segments[i].empty() && !last)) {
      return absl::StrCat(place, ": ", Quote(path), " has an empty or a dot segment");
    }
  }
  return absl::nullopt;
}

fault CheckRouteLimits(const route& checked, const std::string& place) {
  if (fault found =
          CheckRange(absl::StrCat(place, ".timeoutMs"), absl::ToDoubleMilliseconds(checked.timeout),
                     1, absl::ToDoubleMilliseconds(kMaxTimeout))) {
    return found;
  }
  return CheckRange(absl::StrCat(place, ".maxAttempts"), checked.max_attempts, 1, kMaxAttempts);
}

// Names of what routes refer to, and the routes so far.
struct route_context {
  const name_register& services;
  name_register names;
  absl::flat_hash_map<std::string, std::string> first_use;
};

fault CheckRoute(const route& checked, const std::string& place, route_context& context) {
  if (fault found = context.names.Add(checked.name, absl::StrCat(place, ".name"))) return found;
  if (std::find(kMethods.begin(), kMethods.end(), checked.method) == kMethods.end()) {
    return absl::StrCat(place, ".method: unknown method ", Quote(checked.method),
                        "; expected one of ", absl::StrJoin(kMethods, ", "));
  }
  if (fault found = CheckPath(checked.path, absl::StrCat(place, ".path"))) return found;
  if (!context.services.Contains(checked.service)) {
    return absl::StrCat(place, ".service: no service is named ", Quote(checked.service));
  }
  const auto inserted =
      context.first_use.emplace(absl::StrCat(checked.method, " ", checked.path), place);
  if (!inserted.second) {
    return absl::StrCat(place, ".path: ", inserted.first->first, " is already used by ",
                        inserted.first->second);
  }
  return CheckRouteLimits(checked, place);
}

fault CheckAccounts(const manifest& source) {
  name_register names;
  digest_register digests;
  for (size_t i = 0; i < source.client_accounts.size(); ++i) {
    const std::string place = absl::StrCat("clientAccounts[", i, "]");
    fault found = CheckAccount(source.client_accounts[i], place, names, digests);
    if (found.has_value()) return found;
  }
  return absl::nullopt;
}

fault CheckServicesAndRoutes(const manifest& source) {
  name_register services;
  for (size_t i = 0; i < source.services.size(); ++i) {
    fault found = CheckService(source.services[i], absl::StrCat("services[", i, "]"), services);
    if (found.has_value()) return found;
  }
  route_context context{services, {}, {}};
  for (size_t i = 0; i < source.routes.size(); ++i) {
    fault found = CheckRoute(source.routes[i], absl::StrCat("routes[", i, "]"), context);
    if (found.has_value()) return found;
  }
  return absl::nullopt;
}

}  // namespace

fault FindManifestFault(const manifest& source) {
  if (source.version < 1) return std::string("version: must be at least 1");
  if (fault found = CheckSize("clientAccounts", source.client_accounts.size(), kMaxAccounts)) {
    return found;
  }
  if (fault found = CheckSize("services", source.services.size(), kMaxServices)) return found;
  if (fault found = CheckSize("routes", source.routes.size(), kMaxRoutes)) return found;
  if (fault found = CheckAccounts(source)) return found;
  return CheckServicesAndRoutes(source);
}

}  // namespace teaseljunction
