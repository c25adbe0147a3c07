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
// Maximum time that a call may wait for its target: for a new request as a fraction of its target
// latency, for a call of an admitted request as a fraction of its timeout.
constexpr double kMaxWaitPerTargetLatency = 0.125;
constexpr double kMaxWaitPerTimeout = 0.5;
constexpr absl::string_view kAuthorizationHeader = "Authorization";
constexpr absl::string_view kApiKeyHeader = "X-Api-Key";
constexpr absl::string_view kBearerPrefix = "Bearer ";
constexpr absl::string_view kSystemHeaderPrefix = "Teaseljunction-";

// Headers that carry credentials or apply to one connection only (RFC 9110, section 7.6.1).
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

absl::string_view ExtractKey(const http_request& received) {
  if (const auto header = FindHeader(received.headers, kAuthorizationHeader)) {
    absl::string_view value = *header;
    if (absl::StartsWithIgnoreCase(value, kBearerPrefix)) {
      return absl::StripAsciiWhitespace(value.substr(kBearerPrefix.size()));
    }
  }
  return FindHeader(received.headers, kApiKeyHeader).value_or("");
}

bool IsSystemHeader(absl::string_view name, const call_header_names& headers) {
  if (absl::StartsWithIgnoreCase(name, kSystemHeaderPrefix)) return true;
  for (const std::string* known : {&headers.request_id, &headers.deadline, &headers.client_account,
                                   &headers.context, &headers.caller_service, &headers.target_id}) {
    if (absl::EqualsIgnoreCase(name, *known)) return true;
  }
  return false;
}

bool IsRemoved(const http_header& header, const call_header_names& headers) {
  if (IsSystemHeader(header.name, headers)) return true;
  return std::any_of(kRemovedHeaders.begin(), kRemovedHeaders.end(), [&](absl::string_view name) {
    return absl::EqualsIgnoreCase(header.name, name);
  });
}

// Copies the headers that a target may see. Any header whose value contains the API key is dropped.
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

// Returns the host named by the request, in lower case and without the port.
std::string HostNameOf(const http_request& received) {
  const absl::string_view host = FindHeader(received.headers, "Host").value_or("");
  return absl::AsciiStrToLower(host.substr(0, host.find(':')));
}

// The priority of the account takes precedence; the priority of the route lowers it further, down
// to the lowest priority.
request_priority CombinedPriority(request_priority account_priority,
                                  request_priority route_priority) {
  if (account_priority == request_priority::kCritical) return account_priority;
  const int combined = static_cast<int>(account_priority) + static_cast<int>(route_priority);
  return static_cast<request_priority>(std::min(combined, kPriorityCount - 1));
}

// Returns the maximum time that a call may wait for its target. A new request fails early, so that
// its caller can retry; calls of an admitted request wait longer, because work has already been
// done for it.
absl::Duration MaxWait(const route& matched_route) {
  if (matched_route.internal || matched_route.target_latency == absl::ZeroDuration()) {
    return matched_route.timeout * kMaxWaitPerTimeout;
  }
  return matched_route.target_latency * kMaxWaitPerTargetLatency;
}

result<void> ResolveAccount(const manifest_index& manifest, const http_request& received,
                            const route& matched_route, absl::string_view key, call& request) {
  // A key in the path or query would reach the target and its log.
  if (!key.empty() && absl::StrContains(received.path, key)) {
    return Fail(error_kind::kMalformedRequest, "The key must not be part of the path or query.");
  }
  if (matched_route.open) return {};
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

result<absl::Duration> TimeoutOf(const http_request& received, const route& matched_route,
                                 absl::string_view header_name) {
  const auto header = FindHeader(received.headers, header_name);
  if (!header) return matched_route.timeout;
  int64_t milliseconds = 0;
  if (!absl::SimpleAtoi(*header, &milliseconds) || milliseconds < 0) {
    return Fail(error_kind::kMalformedRequest,
                absl::StrCat(header_name, " must be a number of milliseconds."));
  }
  return std::min(matched_route.timeout, absl::Milliseconds(milliseconds));
}

// Sets the identity of a non-idempotent request. It contains the route, so that one key can be used
// on several routes.
result<void> ResolveIdentity(const http_request& received, const route& matched_route,
                             running_call* parent, call& request) {
  const auto key = FindHeader(received.headers, kIdempotencyKeyHeader);
  if (key && !key->empty()) {
    if (key->size() > kMaxIdempotencyKeyBytes) {
      return Fail(error_kind::kMalformedRequest, absl::StrCat("Idempotency-Key is longer than ",
                                                              kMaxIdempotencyKeyBytes, " bytes."));
    }
    request.identity = absl::StrCat(matched_route.name, "/key/", *key);
    return {};
  }
  // A parent that may run twice would give its child calls a different identity each time.
  if (parent == nullptr || parent->Idempotent()) return Fail(error_kind::kIdentityMissing);
  request.identity = absl::StrCat(matched_route.name, "/child/", parent->NextChildOrdinal(), "/",
                                  parent->Identity());
  request.headers.push_back({std::string(kIdempotencyKeyHeader), Sha256Hex(request.identity)});
  return {};
}

result<std::shared_ptr<running_call>> FindParent(const call_context_table& contexts,
                                                 const call_header_names& headers,
                                                 const http_request& received) {
  if (headers.context.empty()) return nullptr;
  const auto token = FindHeader(received.headers, headers.context);
  if (!token) return nullptr;
  auto parent = contexts.Find(*token);
  if (parent == nullptr) return Fail(error_kind::kContextUnknown);
  return parent;
}

std::string FingerprintOf(const call& request) {
  return Sha256HexOfFields(
      {request.client_account, request.method, request.path, request.body.Get()});
}

}  // namespace

absl::string_view SelectService(const route& matched_route, absl::string_view request_id) {
  if (matched_route.parts.empty()) return matched_route.service;
  double total = 0;
  for (const route_part& part : matched_route.parts) total += part.weight;
  // Must be independent of the hash that selects the cohort; otherwise each service would get only
  // some of the cohorts.
  const double fraction =
      static_cast<double>(XXH3_64bits(request_id.data(), request_id.size()) >> 11) * 0x1.0p-53;
  double left = fraction * total;
  for (const route_part& part : matched_route.parts) {
    left -= part.weight;
    if (left < 0) return part.service;
  }
  return matched_route.parts.back().service;
}

route_match FindRequestedRoute(const manifest_index& manifest, const http_request& received) {
  return manifest.FindRoute(HostNameOf(received), received.method, PathOf(received));
}

result<resolved_call> ResolveCall(const manifest_index& manifest,
                                  const call_context_table& contexts,
                                  const resolver_settings& settings, http_request received,
                                  absl::string_view request_id, absl::Time now) {
  resolved_call resolved;
  BOOST_LEAF_ASSIGN(resolved.parent, FindParent(contexts, settings.headers, received));
  const route_match match = FindRequestedRoute(manifest, received);
  if (match.matched == nullptr) return Fail(match.failure);
  const route& matched_route = *match.matched;

  call& request = resolved.request;
  const absl::string_view key = ExtractKey(received);
  request.priority = matched_route.priority;
  if (resolved.parent != nullptr) {
    InheritFromParent(*resolved.parent, request);
  } else {
    BOOST_LEAF_CHECK(ResolveAccount(manifest, received, matched_route, key, request));
    request.request_id = std::string(request_id);
    request.cohort = CohortOf(request.client_account, request_id);
    resolved.needs_token = !matched_route.open && request.limited;
    request.depth = matched_route.internal ? 1 : 0;
    // Calls of admitted requests take precedence over new requests.
    if (matched_route.internal) request.priority = request_priority::kCritical;
  }
  request.service = std::string(SelectService(matched_route, request.request_id));
  request.method = received.method;
  request.path = received.path;
  request.headers = HeadersForTarget(received, key, settings);
  request.body = std::move(received.body);
  request.idempotent = matched_route.idempotent;
  request.attempt_budget = matched_route.max_attempts;
  request.fingerprint = FingerprintOf(request);
  resolved.max_targets = matched_route.max_targets;
  request.route = matched_route.name;
  request.max_wait = MaxWait(matched_route);
  if (matched_route.target_latency > absl::ZeroDuration()) {
    request.target_latency = matched_route.target_latency;
  }

  absl::Duration timeout;
  BOOST_LEAF_ASSIGN(timeout, TimeoutOf(received, matched_route, settings.headers.deadline));
  resolved.deadline_stated = FindHeader(received.headers, settings.headers.deadline).has_value();
  // A request that its client has sent ahead may have waited for earlier ones.
  const bool arrival_known = received.received_at != absl::InfinitePast();
  resolved.deadline = (arrival_known ? std::min(received.received_at, now) : now) + timeout;
  if (resolved.parent != nullptr) {
    resolved.deadline = std::min(resolved.deadline, resolved.parent->Deadline());
  }
  if (resolved.deadline <= now) return Fail(error_kind::kDeadlineTooShort);
  if (!matched_route.idempotent && matched_route.claims) {
    resolved.needs_claim = true;
    BOOST_LEAF_CHECK(ResolveIdentity(received, matched_route, resolved.parent.get(), request));
  }
  return resolved;
}

}  // namespace teaseljunction
