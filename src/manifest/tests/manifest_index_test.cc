#include "manifest/manifest_index.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "manifest/manifest_codec.h"
#include "manifest/tests/sample_manifest.h"

namespace teaseljunction {
namespace {

manifest Sample() {
  const auto decoded = Capture<manifest>([] { return DecodeManifest(SampleManifest()); });
  REQUIRE(decoded.index() == 0);
  return std::get<0>(decoded);
}

struct lookup_case {
  std::string method;
  std::string path;
  // Empty when no route matches; then `failure` applies.
  std::string route;
  error_kind failure = error_kind::kRouteUnknown;
};

}  // namespace

// Guards against a request that is run under the rules of another route, for example through a
// prefix route that is open to all.
TEST_CASE("routes are found by method, exact path and longest prefix") {
  const std::vector<lookup_case> cases = {
      {"POST", "/orders", "new-order"},
      {"POST", "/%6frders", "new-order"},
      {"GET", "/orders", "", error_kind::kMethodNotAllowed},
      {"GET", "/quotes/prices/today", "today"},
      {"GET", "/quotes/prices/tomorrow", "price"},
      {"GET", "/quotes/prices/", "price"},
      {"GET", "/quotes/prices", "quote"},
      {"GET", "/quotes/a/b/c/d", "quote"},
      {"GET", "/quotes/a%2Fb", "quote"},
      {"DELETE", "/quotes/a", "", error_kind::kMethodNotAllowed},
      {"get", "/quotes/a", "", error_kind::kMethodNotAllowed},
      {"GET", "/quotes", ""},
      {"GET", "/quotesX/a", ""},
      {"POST", "/orders/", ""},
      {"GET", "/quotes/prices/../secret", ""},
      {"GET", "/quotes/prices/%2e%2E/secret", ""},
      {"GET", "/quotes/prices/.", ""},
      {"GET", "/quotes//prices/a", ""},
      {"GET", "/quotes/%zz", ""},
      {"GET", "/quotes/%", ""},
      {"GET", "", ""},
      {"", "/", ""},
  };
  const manifest_index index(Sample());
  for (const lookup_case& checked : cases) {
    INFO(checked.method << " " << checked.path);
    const route_match match = index.FindRoute("", checked.method, checked.path);
    CHECK((match.matched == nullptr ? "" : match.matched->name) == checked.route);
    if (match.matched == nullptr) {
      CHECK(match.failure == checked.failure);
      CHECK(match.allow.empty() == (checked.failure == error_kind::kRouteUnknown));
    } else {
      REQUIRE(match.target_service != nullptr);
      CHECK(match.target_service->name == match.matched->service);
    }
  }
  CHECK(index.FindRoute("", "GET", "/orders").allow == "POST");
}

// Guards against a request that is run for another account than its key's.
TEST_CASE("accounts are found by whole key digests only") {
  const manifest_index index(Sample());
  const std::string digest = "sha256:" + std::string(64, 'a');
  REQUIRE(index.FindAccountByKeyDigest(digest) != nullptr);
  CHECK(index.FindAccountByKeyDigest(digest)->name == "alpha");
  CHECK(index.FindAccountByKeyDigest(digest.substr(0, 70)) == nullptr);
  CHECK(index.FindAccountByKeyDigest("") == nullptr);
  CHECK(index.FindAccount("beta") == &index.Manifest().client_accounts[1]);
  CHECK(index.FindService("orders")->retry_ratio == 0.2);
  CHECK(index.FindService("ordrs") == nullptr);
  CHECK(index.Digest() == ManifestDigest(index.Manifest()));
}

// Guards against an index of no manifest that finds something.
TEST_CASE("an empty index finds nothing") {
  const manifest_index index{manifest{}};
  CHECK(index.FindRoute("", "GET", "/").failure == error_kind::kRouteUnknown);
  CHECK(index.FindAccountByKeyDigest("sha256:") == nullptr);
}

}  // namespace teaseljunction
