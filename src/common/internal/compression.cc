#include "common/compression.h"

#include <zlib.h>

#include <algorithm>
#include <new>

namespace teaseljunction {
namespace {

/// Ratio of the first guess of the decompressed size. Manifests repeat their field names.
constexpr size_t kExpectedRatio = 8;
constexpr size_t kMinBufferBytes = 4096;

const Bytef* ToBytes(absl::string_view text) { return reinterpret_cast<const Bytef*>(text.data()); }

}  // namespace

std::string Compress(absl::string_view text) {
  uLongf size = compressBound(text.size());
  std::string compressed(size, '\0');
  // With a buffer of the bound's size, it fails only if there is no memory.
  if (compress(reinterpret_cast<Bytef*>(compressed.data()), &size, ToBytes(text), text.size()) !=
      Z_OK) {
    throw std::bad_alloc();
  }
  compressed.resize(size);
  return compressed;
}

result<std::string> Decompress(absl::string_view compressed, size_t max_bytes) {
  size_t capacity = std::max(compressed.size() * kExpectedRatio, kMinBufferBytes);
  while (true) {
    // One byte more than the limit, so that a text of exactly that size is told from a longer one.
    capacity = std::min(capacity, max_bytes + 1);
    std::string text(capacity, '\0');
    uLongf size = capacity;
    const int outcome = uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                                   ToBytes(compressed), compressed.size());
    if (outcome == Z_OK && size <= max_bytes) {
      text.resize(size);
      return text;
    }
    if (outcome != Z_BUF_ERROR || capacity > max_bytes) {
      return Fail(error_kind::kMalformedRequest, "the compressed text is damaged or too long");
    }
    capacity *= 2;
  }
}

}  // namespace teaseljunction
