#include "manifest/manifest_index.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "manifest/manifest_codec.h"
#include "manifest/tests/sample_manifest.h"

namespace teaseljunction {
namespace {

manifest DecodedSample() {
  const auto decoded = Capture<manifest>([] { return DecodeManifest(SampleManifest()); });
  REQUIRE(decoded.index() == 0);
  return std::get<0>(decoded);
}

struct lookup_case {
  std::string method;
  std::string path;
  // Name of the expected route. Empty when `failure` is expected.
  std::string route;
  error_kind failure = error_kind::kRouteUnknown;
};

}  // namespace

// Guards against a request that runs under the rules of another route, for example of a prefix
// route that needs no key.
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
  const manifest_index index(DecodedSample());
  for (const lookup_case& tested : cases) {
    INFO(tested.method << " " << tested.path);
    const route_match match = index.FindRoute("", tested.method, tested.path);
    CHECK((match.matched == nullptr ? "" : match.matched->name) == tested.route);
    if (match.matched == nullptr) {
      CHECK(match.failure == tested.failure);
      CHECK(match.allowed_methods.empty() == (tested.failure == error_kind::kRouteUnknown));
    } else {
      REQUIRE(match.matched_service != nullptr);
      CHECK(match.matched_service->name == match.matched->service);
    }
  }
  CHECK(index.FindRoute("", "GET", "/orders").allowed_methods == "POST");
}

// Guards against a request that is attributed to another client account than that of its key.
TEST_CASE("client accounts are found only by complete key digests") {
  const manifest_index index(DecodedSample());
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

// Guards against matches in the index of an empty manifest.
TEST_CASE("an empty index finds nothing") {
  const manifest_index index{manifest{}};
  CHECK(index.FindRoute("", "GET", "/").failure == error_kind::kRouteUnknown);
  CHECK(index.FindAccountByKeyDigest("sha256:") == nullptr);
}

}  // namespace teaseljunction
