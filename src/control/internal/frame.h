#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace teaseljunction {

/// Returns the frame that stores `body`; `file_journal` describes the format.
std::string WrapFrame(absl::string_view body);

/// The result of splitting a file into frames.
struct frame_scan {
  /// What follows the last valid frame: nothing, an incomplete frame or a damaged frame.
  enum class tail_state : uint8_t { kClean, kTruncated, kDamaged };

  /// Bodies of the valid frames, as views into the scanned content.
  std::vector<absl::string_view> bodies;
  /// Total size of the valid frames, in bytes.
  size_t valid_bytes = 0;
  tail_state tail = tail_state::kClean;
  /// Size of the tail without the zeros at its end, in bytes.
  size_t tail_bytes = 0;
};

/// Splits the content of a file into frames, up to the first one that is incomplete or damaged.
frame_scan ScanFrames(absl::string_view content);

/// Returns the bodies of all whole frames behind the damaged frame at `damaged`, wherever they
/// begin, as views into `content`.
std::vector<absl::string_view> FindFramesBehind(absl::string_view content, size_t damaged);

}  // namespace teaseljunction
