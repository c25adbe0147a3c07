#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "common/error_kind.h"
#include "common/result.h"

namespace teaseljunction {

// Guards against a row that is out of order, which would return the answer of another kind.
TEST_CASE("every error kind has its own row") {
  std::set<std::string> names;
  for (int i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<error_kind>(i);
    const error_answer& answer = AnswerFor(kind);
    CHECK(answer.kind == kind);
    CHECK(answer.status >= 400);
    CHECK(names.insert(std::string(answer.name)).second);
  }
}

// Guards against a failed result that loses its kind or detail when converted to an outcome.
TEST_CASE("Capture keeps the value or the error") {
  const auto good = Capture<int>([]() -> result<int> { return 3; });
  REQUIRE(good.index() == 0);
  CHECK(std::get<0>(good) == 3);
  const auto bad =
      Capture<int>([]() -> result<int> { return Fail(error_kind::kNoTarget, "none"); });
  REQUIRE(bad.index() == 1);
  CHECK(std::get<1>(bad).kind == error_kind::kNoTarget);
  CHECK(std::get<1>(bad).detail == "none");
}

}  // namespace teaseljunction
