#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <cstring>

#include "absl/strings/str_cat.h"
#include "common/random_source.h"

namespace teaseljunction {
namespace {

/// Random bytes fetched in advance by one thread, because each fetch costs several system calls.
struct random_buffer {
  std::array<unsigned char, 1024> bytes;
  size_t used = sizeof(bytes);
};

}  // namespace

uint64_t system_random_source::Next() {
  thread_local random_buffer buffer;
  uint64_t value = 0;
  if (buffer.used + sizeof(value) > buffer.bytes.size()) {
    // Tokens and keys must not be predictable, so the process aborts without entropy.
    if (RAND_bytes(buffer.bytes.data(), static_cast<int>(buffer.bytes.size())) != 1) std::abort();
    buffer.used = 0;
  }
  std::memcpy(&value, buffer.bytes.data() + buffer.used, sizeof(value));
  // Used bytes are erased, so that a token cannot be recovered from the buffer.
  std::memset(buffer.bytes.data() + buffer.used, 0, sizeof(value));
  buffer.used += sizeof(value);
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
