#include "rpc/internal/buffered_stream.h"

#include <algorithm>
#include <cstring>

namespace teaseljunction {

size_t buffered_stream::Take(kj::byte* out, size_t max_bytes) {
  const size_t size = std::min(max_bytes, end_ - begin_);
  std::memcpy(out, buffer_.data() + begin_, size);
  begin_ += size;
  return size;
}

kj::Promise<size_t> buffered_stream::tryRead(void* buffer, size_t min_bytes, size_t max_bytes) {
  return ReadRest(static_cast<kj::byte*>(buffer), 0, min_bytes, max_bytes);
}

kj::Promise<size_t> buffered_stream::ReadRest(kj::byte* out, size_t taken, size_t min_bytes,
                                              size_t max_bytes) {
  taken += Take(out + taken, max_bytes - taken);
  if (taken >= min_bytes) return taken;
  // Large parts are read to their place at once.
  const size_t missing = min_bytes - taken;
  if (missing >= kBufferBytes) {
    return inner_->tryRead(out + taken, missing, max_bytes - taken).then([taken](size_t read) {
      return taken + read;
    });
  }
  return inner_->tryRead(buffer_.data(), 1, kBufferBytes)
      .then([this, out, taken, min_bytes, max_bytes](size_t read) -> kj::Promise<size_t> {
        begin_ = 0;
        end_ = read;
        if (read == 0) return taken;
        return ReadRest(out, taken, min_bytes, max_bytes);
      });
}

}  // namespace teaseljunction
