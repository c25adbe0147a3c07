#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <cstring>

#include "absl/strings/str_cat.h"
#include "common/random_source.h"

namespace teaseljunction {
namespace {

/// Random bytes that one thread has fetched and not used yet. Each fetch costs a few system calls.
struct random_stock {
  std::array<unsigned char, 1024> bytes;
  size_t used = sizeof(bytes);
};

}  // namespace

uint64_t system_random_source::Next() {
  thread_local random_stock stock;
  uint64_t value = 0;
  if (stock.used + sizeof(value) > stock.bytes.size()) {
    // Tokens and keys must not be predictable, so the process ends when there is no entropy.
    if (RAND_bytes(stock.bytes.data(), static_cast<int>(stock.bytes.size())) != 1) std::abort();
    stock.used = 0;
  }
  std::memcpy(&value, stock.bytes.data() + stock.used, sizeof(value));
  // Used bytes are removed, so that a token cannot be read from memory later.
  std::memset(stock.bytes.data() + stock.used, 0, sizeof(value));
  stock.used += sizeof(value);
  return value;
}

std::string RandomHex(random_source& source, int bytes) {
  std::string text;
  while (static_cast<int>(text.size()) < bytes * 2) {
    absl::StrAppend(&text, absl::Hex(source.Next(), absl::kZeroPad16));
  }
  text.resize(static_cast<size_t>(bytes) * 2);
  return text;
}

}  // namespace teaseljunction
