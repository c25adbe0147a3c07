#include "common/compression.h"

#include <catch2/catch.hpp>
#include <variant>

namespace teaseljunction {
namespace {

outcome<std::string> Unpack(const std::string& compressed, size_t max_bytes) {
  return Capture<std::string>([&] { return Decompress(compressed, max_bytes); });
}

}  // namespace

TEST_CASE("decompressed text is the text that was compressed") {
  std::string text;
  for (size_t size : {size_t{0}, size_t{1}, size_t{5000}, size_t{3000000}}) {
    while (text.size() < size) text += static_cast<char>('a' + text.size() % 7);
    const auto unpacked = Unpack(Compress(text), text.size());
    REQUIRE(unpacked.index() == 0);
    CHECK(std::get<0>(unpacked) == text);
  }
  CHECK(Compress(text).size() < text.size() / 10);
}

// Guards against a short message that fills the memory.
TEST_CASE("text longer than the limit is refused") {
  const std::string compressed = Compress(std::string(1000000, 'x'));
  CHECK(Unpack(compressed, 999999).index() == 1);
  CHECK(Unpack(compressed, 1000000).index() == 0);
}

TEST_CASE("damaged data is refused") {
  const std::string compressed = Compress(std::string(5000, 'x') + "end");
  for (size_t length = 0; length < compressed.size(); ++length) {
    CHECK(Unpack(compressed.substr(0, length), 100000).index() == 1);
  }
  std::string damaged = compressed;
  damaged.back() = static_cast<char>(damaged.back() + 1);
  CHECK(Unpack(damaged, 100000).index() == 1);
  CHECK(Unpack("no compressed text", 100000).index() == 1);
}

}  // namespace teaseljunction
