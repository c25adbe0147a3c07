#pragma once

#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"
#include "common/result.h"

namespace teaseljunction {

/// Returns `text` in the zlib format (RFC 1950).
std::string Compress(absl::string_view text);

/// Returns the text of which `Compress` made `compressed`. Errors: kMalformedRequest if the data is
/// damaged, incomplete, or longer than `max_bytes` when decompressed.
result<std::string> Decompress(absl::string_view compressed, size_t max_bytes);

}  // namespace teaseljunction
