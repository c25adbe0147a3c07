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

}  // namespace teaseljunction
