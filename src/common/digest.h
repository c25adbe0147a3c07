#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace teaseljunction {

/// Returns the SHA-256 digest of `data` as 64 lowercase hexadecimal digits.
std::string Sha256Hex(absl::string_view data);

/// Returns the SHA-256 digest of a list of fields as 64 lowercase hexadecimal digits. Each field is
/// hashed with its length, so that different lists never produce the same input.
std::string Sha256HexOfFields(absl::Span<const absl::string_view> fields);

/// Returns the digest of a caller's API key as written in manifests: "sha256:" and 64 hexadecimal
/// digits.
std::string KeyDigest(absl::string_view key);

}  // namespace teaseljunction
