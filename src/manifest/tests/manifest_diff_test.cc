#include "manifest/manifest_diff.h"

#include <catch2/catch.hpp>
#include <utility>

#include "manifest/manifest_codec.h"
#include "manifest/tests/sample_manifest.h"

namespace teaseljunction {

// Guards against a change that an operator is not shown before submitting it.
TEST_CASE("every kind of change is reported") {
  const auto decoded = Capture<manifest>([] { return DecodeManifest(SampleManifest()); });
  REQUIRE(decoded.index() == 0);
  const manifest before = std::get<0>(decoded);
  manifest after = before;
  after.version = 8;
  after.client_accounts[0].rate = 200;
  after.client_accounts[0].key_digests[0] = "sha256:" + std::string(64, 'c');
  after.client_accounts.pop_back();
  after.services[1].retry_ratio = 0;
  after.services.push_back({"cutting", 5, 0.1});
  after.routes[0].priority = request_priority::kHigh;
  after.routes[0].timeout = absl::Seconds(1);
  after.routes[1].open = true;

  CHECK(FormatChanges(DiffManifests(before, after)) ==
        "~ manifest: version 7 -> 8\n"
        "~ clientAccount alpha: rate 100 -> 200\n"
        "- clientAccount alpha: keyDigests \"sha256:" +
            std::string(64, 'a') +
            "\"\n"
            "+ clientAccount alpha: keyDigests \"sha256:" +
            std::string(64, 'c') +
            "\"\n"
            "- clientAccount beta\n"
            "~ service quoting: retryRatio 0.1 -> 0\n"
            "+ service cutting\n"
            "~ route new-order: priority \"critical\" -> \"high\"\n"
            "~ route new-order: timeoutMs 2500 -> 1000\n"
            "~ route quote: open false -> true\n");
}

// Guards against false differences between manifests that list the same objects in another order.
TEST_CASE("reordered objects and key digests are not a difference") {
  const auto decoded = Capture<manifest>([] { return DecodeManifest(SampleManifest()); });
  REQUIRE(decoded.index() == 0);
  const manifest before = std::get<0>(decoded);
  manifest after = before;
  std::swap(after.routes[0], after.routes[3]);
  std::swap(after.client_accounts[0].key_digests[0], after.client_accounts[0].key_digests[1]);
  CHECK(DiffManifests(before, after).empty());
}

}  // namespace teaseljunction
