#include "gateway/call_resolver.h"

#include <catch2/catch.hpp>

#include "gateway/configuration.h"
#include "gateway/tests/mocks/fake_ports.h"
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

std::string Bearer() { return std::string("Bearer ") + kSampleKey; }

}  // namespace

// Guards against requests that run for no account, with a wrong key, or without an identity.
TEST_CASE("requests that must not run are refused") {
  struct refusal_case {
    const char* what;
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
       {"GET", std::string("/stock/1?k=") + kSampleKey, {{"Authorization", Bearer()}}, ""},
       error_kind::kMalformedRequest},
      {"unknown route",
       {"GET", "/nothing", {{"Authorization", Bearer()}}, ""},
       error_kind::kRouteUnknown},
      {"wrong method",
       {"DELETE", "/orders", {{"Authorization", Bearer()}}, ""},
       error_kind::kMethodNotAllowed},
      {"no identity",
       {"POST", "/orders", {{"Authorization", Bearer()}}, ""},
       error_kind::kIdentityMissing},
      {"forged context",
       {"GET", "/stock/1", {{"Teaseljunction-Context", std::string(32, '0')}}, ""},
       error_kind::kContextUnknown},
      {"no time left",
       {"GET", "/stock/1", {{"Authorization", Bearer()}, {"Teaseljunction-Deadline-Ms", "0"}}, ""},
       error_kind::kDeadlineTooShort},
  };
  for (const refusal_case& row : cases) {
    resolver_fixture fixture;
    INFO(row.what);
    const auto resolved = fixture.Resolve(row.request);
    REQUIRE(resolved.index() == 1);
    CHECK(std::get<error>(resolved).kind == row.expected);
  }
}

// Guards against a key that reaches a target under any header name.
TEST_CASE("no header for the target contains the key") {
  resolver_fixture fixture;
  const auto resolved = fixture.Resolve({"GET",
                                         "/stock/1",
                                         {{"authorization", Bearer()},
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

// Guards against child calls that gain another account, priority or a later deadline, and against a
// token that outlives its call.
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
  CHECK_FALSE(child.needs_share);
  CHECK(child.request.identity != std::get<resolved_call>(second).request.identity);
  // The route of this child call is of normal priority.
  const auto lookup = fixture.Resolve({"GET", "/stock/1", {{"Teaseljunction-Context", token}}, ""});
  CHECK(std::get<resolved_call>(lookup).request.priority == request_priority::kCritical);
  fixture.contexts.Remove(token);
  CHECK(std::get<error>(fixture.Resolve(request)).kind == error_kind::kContextUnknown);
}

// Guards against an older manifest that replaces a newer one, and against calls that are admitted
// with a manifest that may have been replaced.
TEST_CASE("the manifest goes forward only and has to be confirmed") {
  configuration config;
  CHECK(config.Confirmed(kNow) == nullptr);
  REQUIRE(config.Install(SampleManifest(5)));
  CHECK(config.Confirmed(kNow) == nullptr);
  config.ConfirmUntil(kNow + absl::Seconds(5));
  CHECK_FALSE(config.Install(SampleManifest(4)));
  CHECK(config.Confirmed(kNow + absl::Seconds(4))->Manifest().version == 5);
  CHECK(config.Confirmed(kNow + absl::Seconds(5)) == nullptr);
  CHECK(config.Latest()->Manifest().version == 5);
}

// Guards against parts of a split route that get more or less than their weight, and against a
// request that changes its part when it is looked at twice.
TEST_CASE("requests are divided over the parts of a route by weight") {
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

// The way of a call under a deployment with headers of its own.
TEST_CASE("the headers of the deployment are set by the system") {
  resolver_fixture fixture;
  fixture.settings.caller_service = "front";
  call_headers& headers = fixture.settings.headers;
  headers.caller_service = "X-From";
  headers.client_account = "X-Account";
  headers.deadline = "X-Left-Ms";
  headers.forward_host = true;
  const auto resolved = fixture.Resolve({"GET",
                                         "/stock/1",
                                         {{"Authorization", Bearer()},
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

// Guards against an account of the first rank that is shed with the others, and against accounts
// that lift their lookups above the orders of others of the same rank.
TEST_CASE("the priority of an account comes before that of the route") {
  struct row {
    request_priority account;
    request_priority matched;
    request_priority expected;
  };
  const row rows[] = {
      {request_priority::kCritical, request_priority::kNormal, request_priority::kCritical},
      {request_priority::kHigh, request_priority::kCritical, request_priority::kHigh},
      {request_priority::kHigh, request_priority::kHigh, request_priority::kNormal},
      {request_priority::kHigh, request_priority::kNormal, request_priority::kLow},
      {request_priority::kLow, request_priority::kNormal, request_priority::kLow},
  };
  for (const row& wanted : rows) {
    manifest changed = SampleManifest()->Manifest();
    changed.client_accounts[0].priority = wanted.account;
    changed.routes[0].priority = wanted.matched;
    resolver_fixture fixture;
    fixture.manifest = std::make_shared<const manifest_index>(changed);
    const auto resolved = fixture.Resolve({"GET", "/stock/1", {{"Authorization", Bearer()}}, ""});
    REQUIRE(resolved.index() == 0);
    CHECK(std::get<resolved_call>(resolved).request.priority == wanted.expected);
  }
}

// Guards against new requests that take the place of calls for requests that were admitted.
TEST_CASE("internal calls come first and wait longer") {
  manifest changed = SampleManifest()->Manifest();
  changed.routes[2].internal = true;
  changed.routes[2].timeout = absl::Milliseconds(800);
  changed.routes[0].target_latency = absl::Milliseconds(400);
  resolver_fixture fixture;
  fixture.manifest = std::make_shared<const manifest_index>(changed);
  const auto call = fixture.Resolve({"GET", "/status", {}, ""});
  const auto request = fixture.Resolve({"GET", "/stock/1", {{"Authorization", Bearer()}}, ""});
  REQUIRE(call.index() == 0);
  REQUIRE(request.index() == 0);
  CHECK(std::get<resolved_call>(call).request.priority == request_priority::kCritical);
  CHECK(std::get<resolved_call>(call).request.depth == 1);
  CHECK(std::get<resolved_call>(call).request.max_wait == absl::Milliseconds(400));
  CHECK(std::get<resolved_call>(request).request.max_wait == absl::Milliseconds(50));
}

TEST_CASE("a route for one host comes before a route for any host") {
  manifest changed = SampleManifest()->Manifest();
  route own = changed.routes[0];
  own.name = "own";
  own.host = "shop.example";
  own.method = "";
  changed.routes.push_back(own);
  const manifest_index index(changed);
  CHECK(index.FindRoute("shop.example", "GET", "/stock/1").matched->name == "own");
  CHECK(index.FindRoute("shop.example", "PUT", "/stock/1").matched->name == "own");
  CHECK(index.FindRoute("other.example", "GET", "/stock/1").matched->name == "lookup");
  CHECK(index.FindRoute("other.example", "PUT", "/stock/1").matched == nullptr);
}

}  // namespace teaseljunction
