#include "common/json.h"

#include <catch2/catch.hpp>
#include <string>

namespace teaseljunction {
namespace {

std::string Nested(size_t levels, const std::string& open, const std::string& close) {
  std::string text;
  for (size_t i = 0; i < levels; ++i) text += open;
  text += "1";
  for (size_t i = 0; i < levels; ++i) text += close;
  return text;
}

bool IsAccepted(const std::string& text) {
  return Capture<nlohmann::json>([&] {
           return ParseJson(text, error_kind::kMalformedRequest);
         }).index() == 0;
}

}  // namespace

// Guards against a text whose nesting exhausts the stack of the thread that reads it.
TEST_CASE("deeply nested JSON is refused") {
  for (const size_t levels : {33, 1000, 100'000, 1'000'000}) {
    CAPTURE(levels);
    CHECK_FALSE(IsAccepted(Nested(levels, "[", "]")));
    CHECK_FALSE(IsAccepted(Nested(levels, R"({"a":)", "}")));
    CHECK_FALSE(IsAccepted(Nested(levels, R"({"[\"{":[)", "]}")));
    CHECK_FALSE(IsAccepted(Nested(levels, "[", "")));
  }
  CHECK(IsAccepted(Nested(32, "[", "]")));
  CHECK(IsAccepted(R"(["[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"[[[\\",1])"));
  CHECK_FALSE(IsAccepted(""));
  CHECK_FALSE(IsAccepted("\xff"));
  CHECK_FALSE(IsAccepted("[1e400]"));
  CHECK_FALSE(IsAccepted(R"(["\)"));
}

}  // namespace teaseljunction
