#include "control/internal/frame.h"

#include <xxhash.h>

#include <limits>

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
    const size_t rest_written_bytes =
        written_bytes > scan.valid_bytes ? written_bytes - scan.valid_bytes : 0;
    // A header or frame whose last bytes are zeros up to the end of the file is incomplete.
    scan.tail = frame_scan::tail_state::kTruncated;
    if (rest.size() < kHeaderBytes) return scan;
    const absl::string_view length = rest.substr(0, kLengthBytes);
    if (LengthChecksum(length) != ReadLittleEndian(rest.substr(kLengthBytes), kLengthBytes)) {
      if (rest_written_bytes >= kHeaderBytes) scan.tail = frame_scan::tail_state::kDamaged;
      return scan;
    }
    const size_t body_bytes = ReadLittleEndian(length, kLengthBytes);
    const size_t frame_bytes = kHeaderBytes + body_bytes + kTrailerBytes;
    if (rest_written_bytes < frame_bytes) return scan;
    const absl::string_view body = rest.substr(kHeaderBytes, body_bytes);
    if (Checksum(body) != ReadLittleEndian(rest.substr(kHeaderBytes + body_bytes), kTrailerBytes)) {
      scan.tail = frame_scan::tail_state::kDamaged;
      return scan;
    }
    scan.bodies.push_back(body);
    scan.valid_bytes += frame_bytes;
    scan.tail = frame_scan::tail_state::kClean;
  }
  return scan;
}

}  // namespace teaseljunction
