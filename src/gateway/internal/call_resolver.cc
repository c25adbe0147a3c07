#include "gateway/call_resolver.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "common/digest.h"
#include "http/request_path.h"

namespace teaseljunction {
namespace {

constexpr size_t kMaxIdempotencyKeyBytes = 255;
// Longest waits for a target: of a new request, in parts of its target latency, and of a call of an
// admitted request, in parts of its timeout.
constexpr double kPartOfTargetLatency = 0.125;
constexpr double kPartOfTimeout = 0.5;
constexpr absl::string_view kAuthorizationHeader = "Authorization";
constexpr absl::string_view kApiKeyHeader = "X-Api-Key";
constexpr absl::string_view kBearerPrefix = "Bearer ";
constexpr absl::string_view kOwnHeaderPrefix = "Teaseljunction-";

// Headers that carry keys or belong to one connection (RFC 9110, section 7.6.1).
constexpr std::array<absl::string_view, 13> kRemovedHeaders = {"Authorization",
                                                               "Proxy-Authorization",
                                                               "X-Api-Key",
                                                               "Connection",
                                                               "Keep-Alive",
                                                               "Proxy-Connection",
                                                               "TE",
                                                               "Trailer",
                                                               "Transfer-Encoding",
                                                               "Upgrade",
                                                               "Host",
                                                               "Content-Length",
                                                               "Expect"};

absl::string_view KeyOf(const http_request& received) {
  if (const auto header = FindHeader(received.headers, kAuthorizationHeader)) {
    absl::string_view value = *header;
    if (absl::StartsWithIgnoreCase(value, kBearerPrefix)) {
      return absl::StripAsciiWhitespace(value.substr(kBearerPrefix.size()));
    }
  }
  return FindHeader(received.headers, kApiKeyHeader).value_or("");
}

bool IsSystemHeader(absl::string_view name, const call_headers& headers) {
  if (absl::StartsWithIgnoreCase(name, kOwnHeaderPrefix)) return true;
  for (const std::string* known : {&headers.request_id, &headers.deadline, &headers.client_account,
                                   &headers.context, &headers.caller_service, &headers.target_id}) {
    if (absl::EqualsIgnoreCase(name, *known)) return true;
  }
  return false;
}

bool IsRemoved(const http_header& header, const call_headers& headers) {
  if (IsSystemHeader(header.name, headers)) return true;
  return std::any_of(kRemovedHeaders.begin(), kRemovedHeaders.end(), [&](absl::string_view name) {
    return absl::EqualsIgnoreCase(header.name, name);
  });
}

// Copies the headers that a target may see. A header that repeats the key under another name is
// left out too.
std::vector<http_header> HeadersForTarget(const http_request& received, absl::string_view key,
                                          const resolver_settings& settings) {
  std::vector<http_header> headers;
  for (const http_header& header : received.headers) {
    if (IsRemoved(header, settings.headers)) continue;
    if (!key.empty() && absl::StrContains(header.value, key)) continue;
    headers.push_back(header);
  }
  if (settings.headers.forward_host) {
    const auto host = FindHeader(received.headers, "Host");
    if (host) headers.push_back({"Host", std::string(*host)});
  }
  if (!settings.headers.caller_service.empty()) {
    headers.push_back({settings.headers.caller_service, settings.caller_service});
  }
  return headers;
}

// Returns the host that the request names, in lower case and without its port.
std::string HostOf(const http_request& received) {
  const absl::string_view host = FindHeader(received.headers, "Host").value_or("");
  return absl::AsciiStrToLower(host.substr(0, host.find(':')));
}

// The priority of the account comes first; within it that of the route counts as far as there are
// priorities left.
request_priority CombinedPriority(request_priority account, request_priority matched) {
  if (account == request_priority::kCritical) return account;
  const int combined = static_cast<int>(account) + static_cast<int>(matched);
  return static_cast<request_priority>(std::min(combined, kPriorityCount - 1));
}

// Returns how long a call may wait for its target. A new request gives up early, so that its caller
// can come back; the calls of an admitted one wait longer, because work was done for it.
absl::Duration MaxWait(const route& matched) {
  if (matched.internal || matched.target_latency == absl::ZeroDuration()) {
    return matched.timeout * kPartOfTimeout;
  }
  return matched.target_latency * kPartOfTargetLatency;
}

result<void> ResolveAccount(const manifest_index& manifest, const http_request& received,
                            const route& matched, absl::string_view key, call& request) {
  // A key in the path or query would reach the target and its log.
  if (!key.empty() && absl::StrContains(received.path, key)) {
    return Fail(error_kind::kMalformedRequest, "The key must not be part of the path or query.");
  }
  if (matched.open) return {};
  if (key.empty()) return Fail(error_kind::kKeyMissing);
  const client_account* account = manifest.FindAccountByKeyDigest(KeyDigest(key));
  if (account == nullptr) return Fail(error_kind::kKeyUnknown);
  request.client_account = account->name;
  if (account->priority) request.priority = CombinedPriority(*account->priority, request.priority);
  request.limited = account->rate > 0;
  return {};
}

void InheritFromParent(const running_call& parent, call& request) {
  request.request_id = parent.RequestId();
  request.client_account = parent.ClientAccount();
  request.priority = parent.Priority();
  request.cohort = parent.Cohort();
  request.depth = parent.Depth() + 1;
}

result<absl::Duration> TimeoutOf(const http_request& received, const route& matched,
                                 absl::string_view name) {
  const auto header = FindHeader(received.headers, name);
  if (!header) return matched.timeout;
  int64_t milliseconds = 0;
  if (!absl::SimpleAtoi(*header, &milliseconds) || milliseconds < 0) {
    return Fail(error_kind::kMalformedRequest,
                absl::StrCat(name, " must be a number of milliseconds."));
  }
  return std::min(matched.timeout, absl::Milliseconds(milliseconds));
}

// Sets the identity of a non-idempotent request. The route is part of it, so that one key can be
// used on several routes.
result<void> ResolveIdentity(const http_request& received, const route& matched,
                             running_call* parent, call& request) {
  const auto key = FindHeader(received.headers, kIdempotencyKeyHeader);
  if (key && !key->empty()) {
    if (key->size() > kMaxIdempotencyKeyBytes) {
      return Fail(error_kind::kMalformedRequest, absl::StrCat("Idempotency-Key is longer than ",
                                                              kMaxIdempotencyKeyBytes, " bytes."));
    }
    request.identity = absl::StrCat(matched.name, "/key/", *key);
    return {};
  }
  // A parent that can run twice would give its children another identity each time.
  if (parent == nullptr || parent->Idempotent()) return Fail(error_kind::kIdentityMissing);
  request.identity =
      absl::StrCat(matched.name, "/child/", parent->NextChildOrdinal(), "/", parent->Identity());
  request.headers.push_back({std::string(kIdempotencyKeyHeader), Sha256Hex(request.identity)});
  return {};
}

result<std::shared_ptr<running_call>> FindParent(const call_context_table& contexts,
                                                 const call_headers& headers,
                                                 const http_request& received) {
  if (headers.context.empty()) return nullptr;
  const auto token = FindHeader(received.headers, headers.context);
  if (!token) return nullptr;
  auto parent = contexts.Find(*token);
  if (parent == nullptr) return Fail(error_kind::kContextUnknown);
  return parent;
}

std::string FingerprintOf(const call& request) {
  return Sha256HexOfFields({request.client_account, request.method, request.path, request.body});
}

}  // namespace

absl::string_view SelectService(const route& matched, absl::string_view request_id) {
  if (matched.parts.empty()) return matched.service;
  double total = 0;
  for (const route_part& part : matched.parts) total += part.weight;
  // Two uses of one hash must not select alike, so the cohort's is not used here.
  const double fraction =
      static_cast<double>(XXH3_64bits(request_id.data(), request_id.size()) >> 11) * 0x1.0p-53;
  double left = fraction * total;
  for (const route_part& part : matched.parts) {
    left -= part.weight;
    if (left < 0) return part.service;
  }
  return matched.parts.back().service;
}

result<resolved_call> ResolveCall(const manifest_index& manifest,
                                  const call_context_table& contexts,
                                  const resolver_settings& settings, const http_request& received,
                                  absl::string_view request_id, absl::Time now) {
  resolved_call resolved;
  BOOST_LEAF_ASSIGN(resolved.parent, FindParent(contexts, settings.headers, received));
  const route_match match = manifest.FindRoute(HostOf(received), received.method, PathOf(received));
  if (match.matched == nullptr) return Fail(match.failure);
  const route& matched = *match.matched;

  call& request = resolved.request;
  const absl::string_view key = KeyOf(received);
  request.priority = matched.priority;
  if (resolved.parent != nullptr) {
    InheritFromParent(*resolved.parent, request);
  } else {
    BOOST_LEAF_CHECK(ResolveAccount(manifest, received, matched, key, request));
    request.request_id = std::string(request_id);
    request.cohort = CohortOf(request.client_account, request_id);
    resolved.needs_share = !matched.open && request.limited;
    request.depth = matched.internal ? 1 : 0;
    // Calls of admitted requests come before new requests.
    if (matched.internal) request.priority = request_priority::kCritical;
  }
  request.service = std::string(SelectService(matched, request.request_id));
  request.method = received.method;
  request.path = received.path;
  request.headers = HeadersForTarget(received, key, settings);
  request.body = received.body;
  request.idempotent = matched.idempotent;
  request.attempt_budget = matched.max_attempts;
  request.fingerprint = FingerprintOf(request);
  resolved.max_targets = matched.max_targets;
  request.route = matched.name;
  request.max_wait = MaxWait(matched);
  if (matched.target_latency > absl::ZeroDuration()) {
    request.target_latency = matched.target_latency;
  }

  absl::Duration timeout;
  BOOST_LEAF_ASSIGN(timeout, TimeoutOf(received, matched, settings.headers.deadline));
  resolved.deadline = now + timeout;
  if (resolved.parent != nullptr) {
    resolved.deadline = std::min(resolved.deadline, resolved.parent->Deadline());
  }
  if (resolved.deadline <= now) return Fail(error_kind::kDeadlineTooShort);
  if (!matched.idempotent && matched.claims) {
    resolved.needs_claim = true;
    BOOST_LEAF_CHECK(ResolveIdentity(received, matched, resolved.parent.get(), request));
  }
  return resolved;
}

}  // namespace teaseljunction
