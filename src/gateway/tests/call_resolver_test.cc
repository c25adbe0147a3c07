#include "gateway/call_resolver.h"

#include <catch2/catch.hpp>

#include "gateway/active_manifest.h"
#include "gateway/tests/mocks/fake_dependencies.h"
#include "gateway/tests/mocks/sample_manifest.h"

namespace teaseljunction {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

struct resolver_fixture {
  seeded_random_source random{1};
  call_context_table contexts{random};
  resolver_settings settings;
  std::shared_ptr<const manifest_index> manifest = SampleManifest();

  outcome<resolved_call> Resolve(const http_request& request) {
    return Capture<resolved_call>(
        [&] { return ResolveCall(*manifest, contexts, settings, request, "r1", kNow); });
  }
};

std::string BearerCredentials() { return std::string("Bearer ") + kSampleKey; }

}  // namespace

// Guards against requests that run without an account, with a wrong key or without an identity.
TEST_CASE("requests that must not run are refused") {
  struct refusal_case {
    const char* description;
    http_request request;
    error_kind expected;
  };
  const std::vector<refusal_case> cases = {
      {"no key", {"GET", "/stock/1", {}, ""}, error_kind::kKeyMissing},
      {"unknown key", {"GET", "/stock/1", {{"X-Api-Key", "other"}}, ""}, error_kind::kKeyUnknown},
      {"digest sent as the key",
       {"GET", "/stock/1", {{"X-Api-Key", KeyDigest(kSampleKey)}}, ""},
       error_kind::kKeyUnknown},
      {"key in the query",
       {"GET",
        std::string("/stock/1?k=") + kSampleKey,
        {{"Authorization", BearerCredentials()}},
        ""},
       error_kind::kMalformedRequest},
      {"unknown route",
       {"GET", "/nothing", {{"Authorization", BearerCredentials()}}, ""},
       error_kind::kRouteUnknown},
      {"wrong method",
       {"DELETE", "/orders", {{"Authorization", BearerCredentials()}}, ""},
       error_kind::kMethodNotAllowed},
      {"no identity",
       {"POST", "/orders", {{"Authorization", BearerCredentials()}}, ""},
       error_kind::kIdentityMissing},
      {"forged context",
       {"GET", "/stock/1", {{"Teaseljunction-Context", std::string(32, '0')}}, ""},
       error_kind::kContextUnknown},
      {"no time left",
       {"GET",
        "/stock/1",
        {{"Authorization", BearerCredentials()}, {"Teaseljunction-Deadline-Ms", "0"}},
        ""},
       error_kind::kDeadlineTooShort},
  };
  for (const refusal_case& row : cases) {
    resolver_fixture fixture;
    INFO(row.description);
    const auto resolved = fixture.Resolve(row.request);
    REQUIRE(resolved.index() == 1);
    CHECK(std::get<error>(resolved).kind == row.expected);
  }
}

// Guards against passing the API key to a target in any header.
TEST_CASE("no header for the target contains the key") {
  resolver_fixture fixture;
  const auto resolved = fixture.Resolve({"GET",
                                         "/stock/1",
                                         {{"authorization", BearerCredentials()},
                                          {"x-api-key", kSampleKey},
                                          {"X-Copy", std::string("a=") + kSampleKey},
                                          {"Teaseljunction-Client-Account", "other"},
                                          {"Accept", "text/plain"}},
                                         ""});
  REQUIRE(resolved.index() == 0);
  const call& request = std::get<resolved_call>(resolved).request;
  REQUIRE(request.headers.size() == 1);
  CHECK(request.headers[0].name == "Accept");
  CHECK(request.client_account == "builder");
}

// Guards against child calls that gain another account, another priority or a later deadline, and
// against a token that outlives its call.
TEST_CASE("child calls inherit from the running call") {
  resolver_fixture fixture;
  call parent;
  parent.request_id = "entry";
  parent.client_account = "builder";
  parent.priority = request_priority::kCritical;
  parent.depth = 2;
  parent.attempt_budget = 5;
  parent.idempotent = false;
  parent.identity = "order/key/7";
  const std::string token =
      fixture.contexts.Add(std::make_shared<running_call>(parent, kNow + absl::Milliseconds(40)));
  const http_request request{"POST", "/orders", {{"Teaseljunction-Context", token}}, ""};
  const auto first = fixture.Resolve(request);
  const auto second = fixture.Resolve(request);
  REQUIRE(first.index() == 0);
  const auto& child = std::get<resolved_call>(first);
  CHECK(child.request.request_id == "entry");
  CHECK(child.request.priority == request_priority::kCritical);
  CHECK(child.request.depth == 3);
  CHECK(child.deadline == kNow + absl::Milliseconds(40));
  CHECK_FALSE(child.needs_token);
  CHECK(child.request.identity != std::get<resolved_call>(second).request.identity);
  // The route of this child call has normal priority.
  const auto lookup = fixture.Resolve({"GET", "/stock/1", {{"Teaseljunction-Context", token}}, ""});
  CHECK(std::get<resolved_call>(lookup).request.priority == request_priority::kCritical);
  fixture.contexts.Remove(token);
  CHECK(std::get<error>(fixture.Resolve(request)).kind == error_kind::kContextUnknown);
}

// Guards against an older manifest replacing a newer one, and against admitting calls with a
// manifest that may have been replaced.
TEST_CASE("an older manifest is rejected and a manifest must be confirmed") {
  active_manifest config;
  CHECK(config.Confirmed(kNow) == nullptr);
  REQUIRE(config.Install(SampleManifest(5)));
  CHECK(config.Confirmed(kNow) == nullptr);
  config.ConfirmUntil(kNow + absl::Seconds(5));
  CHECK_FALSE(config.Install(SampleManifest(4)));
  CHECK(config.Confirmed(kNow + absl::Seconds(4))->Manifest().version == 5);
  CHECK(config.Confirmed(kNow + absl::Seconds(5)) == nullptr);
  CHECK(config.Latest()->Manifest().version == 5);
}

// Guards against services of a split route receiving more or less than their weight, and against a
// request that is assigned to another service when it is resolved again.
TEST_CASE("requests of a split route are divided over its services by weight") {
  route split;
  split.parts = {{"stock", 90}, {"orders", 10}};
  int orders = 0;
  const int requests = 10000;
  for (int i = 0; i < requests; ++i) {
    const std::string id = "id-" + std::to_string(i);
    const absl::string_view service = SelectService(split, id);
    CHECK(service == SelectService(split, id));
    if (service == "orders") ++orders;
  }
  CHECK(orders > 0.08 * requests);
  CHECK(orders < 0.12 * requests);
}

// Resolves a request with custom header names, some of which the caller tries to forge.
TEST_CASE("custom headers are set by the system and not by the caller") {
  resolver_fixture fixture;
  fixture.settings.caller_service = "front";
  call_header_names& headers = fixture.settings.headers;
  headers.caller_service = "X-From";
  headers.client_account = "X-Account";
  headers.deadline = "X-Left-Ms";
  headers.forward_host = true;
  const auto resolved = fixture.Resolve({"GET",
                                         "/stock/1",
                                         {{"Authorization", BearerCredentials()},
                                          {"Host", "shop.example"},
                                          {"X-From", "forged"},
                                          {"X-Account", "forged"},
                                          {"X-Left-Ms", "250"}},
                                         ""});
  REQUIRE(resolved.index() == 0);
  const auto& accepted = std::get<resolved_call>(resolved);
  CHECK(FindHeader(accepted.request.headers, "X-From").value_or("") == "front");
  CHECK_FALSE(FindHeader(accepted.request.headers, "X-Account"));
  CHECK(FindHeader(accepted.request.headers, "Host").value_or("") == "shop.example");
  CHECK(accepted.deadline == kNow + absl::Milliseconds(250));
}

// Guards against shedding an account of the highest priority together with others, and against an
// account raising its own lookups above the orders of other accounts of the same priority.
TEST_CASE("the priority of an account takes precedence over that of the route") {
  struct priority_case {
    request_priority account_priority;
    request_priority route_priority;
    request_priority expected;
  };
  const priority_case cases[] = {
      {request_priority::kCritical, request_priority::kNormal, request_priority::kCritical},
      {request_priority::kHigh, request_priority::kCritical, request_priority::kHigh},
      {request_priority::kHigh, request_priority::kHigh, request_priority::kNormal},
      {request_priority::kHigh, request_priority::kNormal, request_priority::kLow},
      {request_priority::kLow, request_priority::kNormal, request_priority::kLow},
  };
  for (const priority_case& wanted : cases) {
    manifest changed = SampleManifest()->Manifest();
    changed.client_accounts[0].priority = wanted.account_priority;
    changed.routes[0].priority = wanted.route_priority;
    resolver_fixture fixture;
    fixture.manifest = std::make_shared<const manifest_index>(changed);
    const auto resolved =
        fixture.Resolve({"GET", "/stock/1", {{"Authorization", BearerCredentials()}}, ""});
    REQUIRE(resolved.index() == 0);
    CHECK(std::get<resolved_call>(resolved).request.priority == wanted.expected);
  }
}

// Guards against new requests displacing calls made for admitted requests.
TEST_CASE("internal calls have the highest priority and wait longer") {
  manifest changed = SampleManifest()->Manifest();
  changed.routes[2].internal = true;
  changed.routes[2].timeout = absl::Milliseconds(800);
  changed.routes[0].target_latency = absl::Milliseconds(400);
  resolver_fixture fixture;
  fixture.manifest = std::make_shared<const manifest_index>(changed);
  const auto internal_call = fixture.Resolve({"GET", "/status", {}, ""});
  const auto entry_request =
      fixture.Resolve({"GET", "/stock/1", {{"Authorization", BearerCredentials()}}, ""});
  REQUIRE(internal_call.index() == 0);
  REQUIRE(entry_request.index() == 0);
  CHECK(std::get<resolved_call>(internal_call).request.priority == request_priority::kCritical);
  CHECK(std::get<resolved_call>(internal_call).request.depth == 1);
  CHECK(std::get<resolved_call>(internal_call).request.max_wait == absl::Milliseconds(400));
  CHECK(std::get<resolved_call>(entry_request).request.max_wait == absl::Milliseconds(50));
}

TEST_CASE("a route for one host takes precedence over a route for any host") {
  manifest changed = SampleManifest()->Manifest();
  route host_route = changed.routes[0];
  host_route.name = "own";
  host_route.host = "shop.example";
  host_route.method = "";
  changed.routes.push_back(host_route);
  const manifest_index index(changed);
  CHECK(index.FindRoute("shop.example", "GET", "/stock/1").matched->name == "own");
  CHECK(index.FindRoute("shop.example", "PUT", "/stock/1").matched->name == "own");
  CHECK(index.FindRoute("other.example", "GET", "/stock/1").matched->name == "lookup");
  CHECK(index.FindRoute("other.example", "PUT", "/stock/1").matched == nullptr);
}

}  // namespace teaseljunction
