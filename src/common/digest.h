#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace teaseljunction {

/// Returns the SHA-256 digest of `data` as 64 hexadecimal digits.
std::string Sha256Hex(absl::string_view data);

/// Returns the SHA-256 digest of a list of fields. The length of each field is part of the input,
/// so that different lists never give the same input.
std::string Sha256HexOfFields(absl::Span<const absl::string_view> fields);

/// Returns the digest of a caller's key in the form used in manifests, "sha256:" and 64 digits.
std::string KeyDigest(absl::string_view key);

}  // namespace teaseljunction
