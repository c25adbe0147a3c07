#include "common/digest.h"

#include <openssl/evp.h>

#include <array>
#include <cstdint>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace teaseljunction {
namespace {

constexpr size_t kSha256Bytes = 32;

// Fetched once, because each implicit fetch searches the providers of the library.
const EVP_MD* Sha256() {
  static const EVP_MD* const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  return algorithm;
}

std::string ToHex(const std::array<unsigned char, kSha256Bytes>& digest) {
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

}  // namespace

std::string Sha256Hex(absl::string_view data) {
  std::array<unsigned char, kSha256Bytes> digest{};
  EVP_Digest(data.data(), data.size(), digest.data(), nullptr, Sha256(), nullptr);
  return ToHex(digest);
}

std::string Sha256HexOfFields(absl::Span<const absl::string_view> fields) {
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  EVP_DigestInit_ex(context, Sha256(), nullptr);
  for (absl::string_view field : fields) {
    const uint64_t size = field.size();
    EVP_DigestUpdate(context, &size, sizeof(size));
    EVP_DigestUpdate(context, field.data(), field.size());
  }
  std::array<unsigned char, kSha256Bytes> digest{};
  EVP_DigestFinal_ex(context, digest.data(), nullptr);
  EVP_MD_CTX_free(context);
  return ToHex(digest);
}

std::string KeyDigest(absl::string_view key) { return absl::StrCat("sha256:", Sha256Hex(key)); }

}  // namespace teaseljunction
