#include "common/digest.h"

#include <catch2/catch.hpp>

#include "common/types.h"

namespace teaseljunction {

// Guards against a digest that differs from the published test vector of FIPS 180-4.
TEST_CASE("Sha256Hex matches the published vector") {
  CHECK(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(KeyDigest("abc").substr(0, 10) == "sha256:ba7");
}

// Guards against different requests with the same fingerprint.
TEST_CASE("field boundaries are part of the digest") {
  CHECK(Sha256HexOfFields({"ab", "c"}) != Sha256HexOfFields({"a", "bc"}));
}

// Guards against hops that shed requests in different orders.
TEST_CASE("overload level orders by priority, then cohort") {
  const overload_level level{request_priority::kNormal, 10};
  CHECK(level.Admits(request_priority::kCritical, 127));
  CHECK(level.Admits(request_priority::kNormal, 9));
  CHECK_FALSE(level.Admits(request_priority::kNormal, 10));
  CHECK_FALSE(level.Admits(request_priority::kLow, 0));
  CHECK(overload_level{}.Admits(request_priority::kLow, kCohortCount - 1));
}

}  // namespace teaseljunction
