#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "common/result.h"
#include "manifest/types.h"

namespace teaseljunction {

/// Largest manifest text in bytes.
constexpr size_t kMaxManifestBytes = 1 << 20;

/// Decodes and validates the JSON text of a manifest. Never throws.
/// Errors: kManifestInvalid, with a detail that names the place and the fault, for example
/// `routes[3].service: no service is named "ordrs"`. Syntax errors name the line and column too.
result<manifest> DecodeManifest(absl::string_view json);

/// Returns the canonical JSON text: every field in schema order, without white space. Decoding and
/// encoding it again gives the same bytes.
std::string EncodeManifest(const manifest& source);

/// Returns the SHA-256 digest of the canonical JSON text as 64 hexadecimal digits.
std::string ManifestDigest(const manifest& source);

}  // namespace teaseljunction
