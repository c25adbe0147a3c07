#include <openssl/rand.h>

#include <cstdlib>

#include "absl/strings/str_cat.h"
#include "common/random_source.h"

namespace teaseljunction {

uint64_t system_random_source::Next() {
  uint64_t value = 0;
  // Tokens and keys must not be predictable, so the process ends when there is no entropy.
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof(value)) != 1) std::abort();
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
