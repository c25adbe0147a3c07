#include "control/internal/frame.h"

#include <xxhash.h>

#include "absl/types/optional.h"

namespace teaseljunction {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kHeaderBytes = 8;
constexpr size_t kTrailerBytes = 8;
// Makes the last byte of every frame nonzero. Zeros at the end of a file, which some file systems
// leave after a crash, are therefore known to be unwritten.
constexpr uint64_t kTrailerMark = uint64_t{1} << 63;

void AppendLittleEndian(std::string& out, uint64_t value, size_t bytes) {
  for (size_t i = 0; i < bytes; ++i) out.push_back(static_cast<char>(value >> (8 * i)));
}

uint64_t ReadLittleEndian(absl::string_view in, size_t bytes) {
  uint64_t value = 0;
  for (size_t i = 0; i < bytes; ++i) {
    value |= static_cast<uint64_t>(static_cast<unsigned char>(in[i])) << (8 * i);
  }
  return value;
}

uint32_t LengthChecksum(absl::string_view length) {
  return static_cast<uint32_t>(XXH3_64bits(length.data(), length.size()));
}

uint64_t Checksum(absl::string_view body) {
  return XXH3_64bits(body.data(), body.size()) | kTrailerMark;
}

// Returns the size of the frame that starts with `bytes`, unless its length is damaged.
absl::optional<size_t> FrameBytes(absl::string_view bytes) {
  if (bytes.size() < kHeaderBytes) return absl::nullopt;
  const absl::string_view length = bytes.substr(0, kLengthBytes);
  if (LengthChecksum(length) != ReadLittleEndian(bytes.substr(kLengthBytes), kLengthBytes)) {
    return absl::nullopt;
  }
  return kHeaderBytes + ReadLittleEndian(length, kLengthBytes) + kTrailerBytes;
}

// Returns the body of the frame of this size at the start of `bytes`, unless it is damaged.
absl::optional<absl::string_view> WholeBody(absl::string_view bytes, size_t frame_bytes) {
  const size_t body_bytes = frame_bytes - kHeaderBytes - kTrailerBytes;
  const absl::string_view body = bytes.substr(kHeaderBytes, body_bytes);
  const uint64_t checksum =
      ReadLittleEndian(bytes.substr(kHeaderBytes + body_bytes), kTrailerBytes);
  if (Checksum(body) != checksum) return absl::nullopt;
  return body;
}

}  // namespace

std::string WrapFrame(absl::string_view body) {
  std::string frame;
  frame.reserve(kHeaderBytes + body.size() + kTrailerBytes);
  AppendLittleEndian(frame, body.size(), kLengthBytes);
  AppendLittleEndian(frame, LengthChecksum(frame), kHeaderBytes - kLengthBytes);
  frame.append(body.data(), body.size());
  AppendLittleEndian(frame, Checksum(body), kTrailerBytes);
  return frame;
}

frame_scan ScanFrames(absl::string_view content) {
  frame_scan scan;
  const size_t last_nonzero = content.find_last_not_of('\0');
  const size_t written_bytes = last_nonzero == absl::string_view::npos ? 0 : last_nonzero + 1;
  while (scan.valid_bytes < content.size()) {
    const absl::string_view rest = content.substr(scan.valid_bytes);
    scan.tail_bytes = written_bytes > scan.valid_bytes ? written_bytes - scan.valid_bytes : 0;
    // A header or frame whose last bytes are zeros up to the end of the file is incomplete.
    scan.tail = frame_scan::tail_state::kTruncated;
    if (rest.size() < kHeaderBytes) return scan;
    const absl::optional<size_t> frame_bytes = FrameBytes(rest);
    if (!frame_bytes) {
      if (scan.tail_bytes >= kHeaderBytes) scan.tail = frame_scan::tail_state::kDamaged;
      return scan;
    }
    if (scan.tail_bytes < *frame_bytes) return scan;
    const absl::optional<absl::string_view> body = WholeBody(rest, *frame_bytes);
    if (!body) {
      scan.tail = frame_scan::tail_state::kDamaged;
      return scan;
    }
    scan.bodies.push_back(*body);
    scan.valid_bytes += *frame_bytes;
    scan.tail = frame_scan::tail_state::kClean;
    scan.tail_bytes = 0;
  }
  return scan;
}

std::vector<absl::string_view> FindFramesBehind(absl::string_view content, size_t damaged) {
  std::vector<absl::string_view> bodies;
  // Content inside the damaged frame may look like a frame. If the length of that frame is
  // readable, its content is skipped.
  size_t at = damaged + FrameBytes(content.substr(damaged)).value_or(1);
  for (; at < content.size(); ++at) {
    const absl::string_view rest = content.substr(at);
    const absl::optional<size_t> frame_bytes = FrameBytes(rest);
    if (!frame_bytes || *frame_bytes > rest.size()) continue;
    const absl::optional<absl::string_view> body = WholeBody(rest, *frame_bytes);
    if (body) bodies.push_back(*body);
  }
  return bodies;
}

}  // namespace teaseljunction
