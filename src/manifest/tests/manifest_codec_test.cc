#include "manifest/manifest_codec.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "manifest/tests/sample_manifest.h"

namespace teaseljunction {
namespace {

// Returns the detail of the error, or an empty string when the manifest is accepted.
std::string ErrorDetail(const std::string& json) {
  const auto decoded = Capture<manifest>([&] { return DecodeManifest(json); });
  if (decoded.index() == 0) return "";
  CHECK(std::get<1>(decoded).kind == error_kind::kManifestInvalid);
  return std::get<1>(decoded).detail;
}

manifest DecodeValid(const std::string& json) {
  const auto decoded = Capture<manifest>([&] { return DecodeManifest(json); });
  REQUIRE(decoded.index() == 0);
  return std::get<0>(decoded);
}

// A replacement in the sample manifest and the expected start of the error message.
struct invalid_case {
  std::string from;
  std::string to;
  std::string message;
};

}  // namespace

// Guards against schema defaults that differ from those in manifest/types.h.
TEST_CASE("omitted fields have the defaults of manifest/types.h") {
  const manifest decoded = DecodeValid(SampleManifest());
  CHECK(decoded.version == 7);
  REQUIRE(decoded.routes.size() == 4);
  CHECK(decoded.routes[0].timeout == absl::Milliseconds(2500));
  CHECK(decoded.routes[0].priority == request_priority::kCritical);
  CHECK_FALSE(decoded.routes[0].idempotent);
  CHECK(decoded.routes[1].timeout == route().timeout);
  CHECK(decoded.routes[1].max_attempts == route().max_attempts);
  CHECK(decoded.routes[1].priority == route().priority);
  CHECK(decoded.services[1].retry_ratio == service().retry_ratio);
  CHECK(decoded.services[1].max_concurrency == service().max_concurrency);
  CHECK(decoded.client_accounts[0].burst == 50.5);
  CHECK(decoded.client_accounts[1].key_digests.empty());
}

// Guards against a digest that changes for manifests that do not use the field: daemons of two
// versions would then disagree on the manifest in force.
TEST_CASE("overloadControl is part of the canonical text only when it is planned") {
  const std::string plain = SampleManifest();
  const auto with_mode = [&](absl::string_view mode) {
    return absl::StrReplaceAll(
        plain,
        {{R"("version": 7,)", absl::StrCat(R"("version": 7, "overloadControl": ")", mode, "\",")}});
  };
  REQUIRE(with_mode("planned") != plain);
  CHECK(DecodeValid(plain).overload_control == overload_control_mode::kReactive);
  CHECK(ManifestDigest(DecodeValid(with_mode("reactive"))) == ManifestDigest(DecodeValid(plain)));
  CHECK_FALSE(absl::StrContains(EncodeManifest(DecodeValid(plain)), "overloadControl"));
  const manifest planned = DecodeValid(with_mode("planned"));
  CHECK(planned.overload_control == overload_control_mode::kPlanned);
  CHECK(DecodeValid(EncodeManifest(planned)).overload_control == overload_control_mode::kPlanned);
  CHECK(absl::StartsWith(ErrorDetail(with_mode("often")), "overloadControl: "));
}

// Guards against two digests for one manifest, with which a resubmission would be a conflict.
TEST_CASE("the canonical text is unchanged by decoding and encoding it again") {
  const manifest decoded = DecodeValid(SampleManifest());
  const std::string text = EncodeManifest(decoded);
  CHECK(absl::StartsWith(text, R"({"version":7,"clientAccounts":[{"name":"alpha","rate":100,)"));
  const manifest again = DecodeValid(text);
  CHECK(EncodeManifest(again) == text);
  CHECK(ManifestDigest(again) == ManifestDigest(decoded));
  const std::string largest =
      absl::StrReplaceAll(text, {{R"("version":7)", R"("version":9007199254740991)"}});
  CHECK(EncodeManifest(DecodeValid(largest)) == largest);
  CHECK(ManifestDigest(DecodeValid(largest)) != ManifestDigest(decoded));
}

// Guards against an invalid manifest that is accepted, or rejected without a field path.
TEST_CASE("an invalid manifest is rejected with the path of the invalid field") {
  const std::string digest_a = absl::StrCat("sha256:", std::string(64, 'a'));
  const std::string digest_b = absl::StrCat("sha256:", std::string(64, 'b'));
  const std::vector<invalid_case> cases = {
      {R"("version": 7)", R"("version": 0)", "version: must be at least 1"},
      {R"("version": 7)", R"("version": -7)", "version: must not be negative"},
      {R"("version": 7)", R"("version": -0)", "version: must not be negative"},
      {R"("version": 7)", R"("version": 7.5)", "version: must be a whole number"},
      {R"("version": 7)", R"("version": 9007199254740992)", "version: must be at most"},
      {R"("version": 7)", R"("version": "7")", "version: expected a whole number, found a string"},
      {R"("version": 7)", R"("version": null)", "version: expected a whole number, found null"},
      {R"("version": 7)", R"("version": 1e999)",
       "version (line 2, column 19): the number is out of range"},
      {R"("version": 7)", R"("version": NaN)", "version (line 2, column 14): expected a value"},
      {R"("version": 7)", R"("version": -Infinity)", "version (line 2, column 15): expected"},
      {R"("version": 7)", R"("version": 07)", "version (line 2, column 16): a number must not"},
      {R"("version": 7)", R"("version": 7, "version": 7)",
       R"(manifest: duplicate field "version")"},
      {R"("version": 7)", R"("version": 7, "verzion": 7)", R"(manifest: unknown field "verzion")"},
      {R"("version": 7)", R"("version": 7,)",
       "manifest (line 2, column 16): expected a field name in quotes"},
      {R"("rate": 100)", R"("rate": 0)", "clientAccounts[0].rate: must be above 0"},
      {R"("rate": 100)", R"("rate": -1)", "clientAccounts[0].rate: must be above 0"},
      {R"("rate": 100)", R"("rate": "inf")", "clientAccounts[0].rate: expected a number"},
      {R"("rate": 100)", R"("rate": "100")", "clientAccounts[0].rate: expected a number"},
      {R"("rate": 100)", R"("rate": 1e10)", "clientAccounts[0].rate: must be above 0 and at most"},
      {R"("burst": 1})", R"("burst": 0.5})", "clientAccounts[1].burst: must be in 1 to"},
      {R"(, "burst": 1})", "}", "clientAccounts[1].burst: must be in 1 to"},
      {R"("beta")", R"("alpha")", R"(clientAccounts[1].name: "alpha" is already used by cl)"},
      {R"("beta")", R"("Beta")", R"(clientAccounts[1].name: "Beta" is not a name)"},
      {R"("beta")", R"("b\u0000")", R"(clientAccounts[1].name: "b\x00" is not a name)"},
      {R"("beta")", R"("")", R"(clientAccounts[1].name: "" is not a name)"},
      {R"("beta")", "\"" + std::string(65, 'b') + "\"", "clientAccounts[1].name: "},
      {R"("beta")", "\"b\nb\"", "clientAccounts[1].name (line 5, column 16): control character"},
      {R"("beta")", R"("\x")", "clientAccounts[1].name (line 5, column 16): unknown escape"},
      {digest_b, digest_a, "clientAccounts[0].keyDigests[1]: the digest is already used"},
      {digest_b, "sha256:abc", "clientAccounts[0].keyDigests[1]: expected \"sha256:\""},
      {R"(0.2)", R"(1.5)", "services[0].retryRatio: must be in 0 to 1"},
      {R"(0.2)", R"(-0.0)", "services[0].retryRatio: must be in 0 to 1"},
      {R"(0.2)", R"(-0.1)", "services[0].retryRatio: must be in 0 to 1"},
      {R"("retryRatio": 0.2)", R"("maxConcurrency": 4294967296)",
       "services[0].maxConcurrency: must be at most 4294967295"},
      {R"("name": "quoting"})", R"("name": "orders"})", "services[1].name: \"orders\" is already"},
      {R"("service": "quoting",)", R"("service": "ordrs",)",
       R"(routes[1].service: no service is named "ordrs")"},
      {R"("POST")", R"("post")", R"(routes[0].method: unknown method "post"; expected one of GET)"},
      {R"("critical")", R"("urgent")",
       R"(routes[0].priority: unknown value "urgent"; expected one of critical, high, normal, low)"},
      {R"("critical")", "0", "routes[0].priority: expected a string, found a number"},
      {R"("open": true)", R"("open": 1)", "routes[2].open: expected true or false, found a number"},
      {R"("open": true)", R"("open": "true")", "routes[2].open: expected true or false"},
      {"2500", "0", "routes[0].timeoutMs: must be in 1 to 600000"},
      {"2500", "600001", "routes[0].timeoutMs: must be in 1 to 600000"},
      {"2500", "2500, \"maxAttempts\": 0", "routes[0].maxAttempts: must be in 1 to 1000"},
      {R"("/orders")", R"("orders")", R"(routes[0].path: "orders" is not a path)"},
      {R"("/orders")", R"("/a*")", R"(routes[0].path: "/a*" is not a path)"},
      {R"("/orders")", R"("/a/*/b")", R"(routes[0].path: "/a/*/b" is not a path)"},
      {R"("/orders")", R"("/a?b")", R"(routes[0].path: "/a?b" is not a path)"},
      {R"("/orders")", R"("/a/../b")", "routes[0].path: \"/a/../b\" has an empty or a dot segment"},
      {R"("/orders")", R"("/teaseljunction/v1/drain")", "routes[0].path: paths below"},
      {R"("/quotes/prices/*")", R"("/quotes/*")", "routes[2].path: GET /quotes/* is already used"},
      {R"("name": "price")", R"("name": "quote")", "routes[2].name: \"quote\" is already used"},
      {R"("routes": [)", R"("routes": {}, "x": [)", "routes: expected an array, found an object"},
      {R"("services": [{)", R"("services": [[], {)", "services[0]: expected an object, found an a"},
      {"7,", absl::StrCat(std::string(40, '['), "7,"), "version[0][0][0]"},
  };
  for (const invalid_case& tested : cases) {
    const std::string text = SampleManifest();
    const size_t at = text.find(tested.from);
    REQUIRE(at != std::string::npos);
    const std::string json = text.substr(0, at) + tested.to + text.substr(at + tested.from.size());
    INFO(tested.to);
    CHECK_THAT(ErrorDetail(json), Catch::StartsWith(tested.message));
  }
}

// Guards against a manifest that was truncated in transit, and against trailing text.
TEST_CASE("truncated texts and texts with trailing characters are rejected") {
  const std::string text = SampleManifest();
  for (size_t size = 0; size < text.size(); ++size) {
    CHECK_THAT(ErrorDetail(text.substr(0, size)), Catch::Contains("the text ends too early"));
  }
  CHECK_THAT(ErrorDetail(text + "{}"), Catch::Contains("text after the end"));
  CHECK(ErrorDetail(text + "\n").empty());
}

// Guards against exceptions that escape the decoder, and against accepted texts without a stable
// canonical form.
TEST_CASE("mutated texts are rejected or have a stable canonical form") {
  const auto seed = GENERATE(range(1U, 2'000U));
  std::mt19937 random(seed);
  std::string text = SampleManifest();
  const std::string replacement_characters = "{}[]\",:0-9.eE+ntf\\u/* \n\x80";
  for (int i = 0; i < 3; ++i) {
    const size_t at = random() % text.size();
    if (random() % 2 == 0) {
      text[at] = replacement_characters[random() % replacement_characters.size()];
    }
    if (random() % 4 == 0) text.insert(at, text.substr(random() % text.size(), random() % 40));
  }
  INFO("manifest_test \"mutated texts are rejected or have a stable canonical form\", seed "
       << seed);
  const auto decoded = Capture<manifest>([&] { return DecodeManifest(text); });
  if (decoded.index() == 1) {
    CHECK_FALSE(std::get<1>(decoded).detail.empty());
  } else {
    const std::string canonical = EncodeManifest(std::get<0>(decoded));
    CHECK(EncodeManifest(DecodeValid(canonical)) == canonical);
  }
}

// Guards against memory use that only the sender limits.
TEST_CASE("size limits are enforced") {
  CHECK_THAT(ErrorDetail(std::string(kMaxManifestBytes + 1, ' ')), Catch::Contains("the limit is"));
  std::string routes;
  for (int i = 0; i < 9'000; ++i) {
    absl::StrAppend(&routes, i == 0 ? "" : ",", R"({"name":"r)", i, R"(","method":"GET","path":"/)",
                    i, R"(","service":"s"})");
  }
  const std::string json =
      absl::StrCat(R"({"version":1,"services":[{"name":"s"}],"routes":[)", routes, "]}");
  REQUIRE(json.size() <= kMaxManifestBytes);
  CHECK_THAT(ErrorDetail(json), Catch::Contains("the canonical text has"));
  std::string services;
  for (int i = 0; i <= 1'000; ++i)
    absl::StrAppend(&services, i == 0 ? "" : ",", R"({"name":"s)", i, "\"}");
  CHECK_THAT(ErrorDetail(absl::StrCat(R"({"version":1,"services":[)", services, "]}")),
             Catch::StartsWith("services: has 1001 entries; the limit is 1000"));
}

}  // namespace teaseljunction
