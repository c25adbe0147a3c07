#include "rpc/internal/buffered_stream.h"

#include <kj/debug.h>

#include <algorithm>
#include <cstring>

namespace teaseljunction {

size_t buffered_stream::TakeBuffered(kj::byte* out, size_t max_bytes) {
  const size_t size = std::min(max_bytes, end_ - begin_);
  std::memcpy(out, buffer_.data() + begin_, size);
  begin_ += size;
  return size;
}

kj::Promise<size_t> buffered_stream::tryRead(void* buffer, size_t min_bytes, size_t max_bytes) {
  return ReadRemaining(static_cast<kj::byte*>(buffer), 0, min_bytes, max_bytes);
}

kj::Promise<size_t> buffered_stream::ReadRemaining(kj::byte* out, size_t bytes_read,
                                                   size_t min_bytes, size_t max_bytes) {
  bytes_read += TakeBuffered(out + bytes_read, max_bytes - bytes_read);
  if (bytes_read >= min_bytes) return bytes_read;
  // Large reads bypass the buffer and go directly to the destination.
  const size_t missing = min_bytes - bytes_read;
  if (missing >= kBufferBytes) {
    if (!memory_.Reserve(missing)) {
      return KJ_EXCEPTION(OVERLOADED, "too much memory is used for messages that are incomplete");
    }
    return inner_->tryRead(out + bytes_read, missing, max_bytes - bytes_read)
        .then([bytes_read](size_t read) { return bytes_read + read; })
        .attach(kj::defer([&memory = memory_, missing] { memory.Release(missing); }));
  }
  return inner_->tryRead(buffer_.data(), 1, kBufferBytes)
      .then([this, out, bytes_read, min_bytes, max_bytes](size_t read) -> kj::Promise<size_t> {
        begin_ = 0;
        end_ = read;
        if (read == 0) return bytes_read;
        return ReadRemaining(out, bytes_read, min_bytes, max_bytes);
      });
}

}  // namespace teaseljunction
