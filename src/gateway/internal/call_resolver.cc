#include "gateway/call_resolver.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "common/digest.h"

namespace teaseljunction {
namespace {

constexpr size_t kMaxIdempotencyKeyBytes = 255;
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

bool IsRemoved(const http_header& header) {
  if (absl::StartsWithIgnoreCase(header.name, kOwnHeaderPrefix)) return true;
  return std::any_of(kRemovedHeaders.begin(), kRemovedHeaders.end(), [&](absl::string_view name) {
    return absl::EqualsIgnoreCase(header.name, name);
  });
}

// Copies the headers that a target may see. A header that repeats the key under another name is
// left out too.
std::vector<http_header> HeadersForTarget(const http_request& received, absl::string_view key) {
  std::vector<http_header> headers;
  for (const http_header& header : received.headers) {
    if (IsRemoved(header)) continue;
    if (!key.empty() && absl::StrContains(header.value, key)) continue;
    headers.push_back(header);
  }
  return headers;
}

absl::string_view PathOf(const http_request& received) {
  const absl::string_view target = received.path;
  return target.substr(0, target.find('?'));
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
  return {};
}

void InheritFromParent(const running_call& parent, call& request) {
  request.request_id = parent.RequestId();
  request.client_account = parent.ClientAccount();
  request.priority = parent.Priority();
  request.cohort = parent.Cohort();
  request.depth = parent.Depth() + 1;
}

result<absl::Duration> TimeoutOf(const http_request& received, const route& matched) {
  const auto header = FindHeader(received.headers, kDeadlineHeader);
  if (!header) return matched.timeout;
  int64_t milliseconds = 0;
  if (!absl::SimpleAtoi(*header, &milliseconds) || milliseconds < 0) {
    return Fail(error_kind::kMalformedRequest,
                absl::StrCat(kDeadlineHeader, " must be a number of milliseconds."));
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
                                                 const http_request& received) {
  const auto token = FindHeader(received.headers, kContextHeader);
  if (!token) return nullptr;
  auto parent = contexts.Find(*token);
  if (parent == nullptr) return Fail(error_kind::kContextUnknown);
  return parent;
}

std::string FingerprintOf(const call& request) {
  return Sha256HexOfFields({request.client_account, request.method, request.path, request.body});
}

}  // namespace

result<resolved_call> ResolveCall(const manifest_index& manifest,
                                  const call_context_table& contexts, const http_request& received,
                                  absl::string_view request_id, absl::Time now) {
  resolved_call resolved;
  BOOST_LEAF_ASSIGN(resolved.parent, FindParent(contexts, received));
  const route_match match = manifest.FindRoute(received.method, PathOf(received));
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
    resolved.needs_share = !matched.open;
  }
  request.service = matched.service;
  request.method = received.method;
  request.path = received.path;
  request.headers = HeadersForTarget(received, key);
  request.body = received.body;
  request.idempotent = matched.idempotent;
  request.attempt_budget = matched.max_attempts;
  request.fingerprint = FingerprintOf(request);

  absl::Duration timeout;
  BOOST_LEAF_ASSIGN(timeout, TimeoutOf(received, matched));
  resolved.deadline = now + timeout;
  if (resolved.parent != nullptr) {
    resolved.deadline = std::min(resolved.deadline, resolved.parent->Deadline());
  }
  if (resolved.deadline <= now) return Fail(error_kind::kDeadlineTooShort);
  if (!matched.idempotent) {
    resolved.needs_claim = true;
    BOOST_LEAF_CHECK(ResolveIdentity(received, matched, resolved.parent.get(), request));
  }
  return resolved;
}

}  // namespace teaseljunction
