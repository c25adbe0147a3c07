#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "common/result.h"
#include "manifest/types.h"

namespace teaseljunction {

/// Maximum size of a manifest, both as submitted and in its canonical form.
constexpr size_t kMaxManifestBytes = 1 << 20;

/// Decodes and validates the JSON text of a manifest. Does not throw.
/// Errors: kManifestInvalid, with a detail that gives the field path and the reason, for example
/// `routes[3].service: no service is named "ordrs"`. Syntax errors also give line and column.
result<manifest> DecodeManifest(absl::string_view json);

/// Returns the canonical JSON text: all fields in schema order, without whitespace. Decoding and
/// encoding it again yields the same bytes.
std::string EncodeManifest(const manifest& source);

/// Returns the SHA-256 digest of the canonical JSON text as 64 hexadecimal digits.
std::string ManifestDigest(const manifest& source);

}  // namespace teaseljunction
