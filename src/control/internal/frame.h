#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace teaseljunction {

/// Returns `body` with length and checksums, as it is stored.
std::string WrapFrame(absl::string_view body);

/// The frames of a file.
struct frame_scan {
  enum class ending : uint8_t { kClean, kCutOff, kDamaged };

  /// Views into the scanned bytes.
  std::vector<absl::string_view> bodies;
  /// Bytes of the intact frames.
  size_t valid_bytes = 0;
  ending end = ending::kClean;
};

/// Splits the content of a file into frames.
frame_scan ScanFrames(absl::string_view content);

}  // namespace teaseljunction
