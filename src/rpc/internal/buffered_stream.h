#pragma once

#include <kj/async-io.h>

#include <array>

#include "rpc/internal/message_memory.h"

namespace teaseljunction {

/// Stream with a read buffer. The RPC system reads each message in several parts, each of which
/// would otherwise be a system call. The read of a large message fails if too many of them are
/// being received already.
class buffered_stream final : public kj::AsyncIoStream {
 public:
  /// `memory` must outlive the stream.
  buffered_stream(kj::Own<kj::AsyncIoStream> inner, message_memory& memory)
      : inner_(kj::mv(inner)), memory_(memory) {}

  // NOLINTBEGIN(readability-identifier-naming): names of the KJ interface.
  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, size_t size) override {
    return inner_->write(buffer, size);
  }
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    return inner_->write(pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override { return inner_->whenWriteDisconnected(); }
  void shutdownWrite() override { inner_->shutdownWrite(); }
  void abortRead() override { inner_->abortRead(); }
  void getsockopt(int level, int option, void* value, kj::uint* length) override {
    inner_->getsockopt(level, option, value, length);
  }
  void setsockopt(int level, int option, const void* value, kj::uint length) override {
    inner_->setsockopt(level, option, value, length);
  }
  void getsockname(struct sockaddr* address, kj::uint* length) override {
    inner_->getsockname(address, length);
  }
  void getpeername(struct sockaddr* address, kj::uint* length) override {
    inner_->getpeername(address, length);
  }
  kj::Maybe<int> getFd() const override { return inner_->getFd(); }
  // NOLINTEND(readability-identifier-naming)

 private:
  static constexpr size_t kBufferBytes = 8192;

  // Moves up to `max_bytes` buffered bytes to `out` and returns their number.
  size_t TakeBuffered(kj::byte* out, size_t max_bytes);
  kj::Promise<size_t> ReadRemaining(kj::byte* out, size_t bytes_read, size_t min_bytes,
                                    size_t max_bytes);

  kj::Own<kj::AsyncIoStream> inner_;
  message_memory& memory_;
  std::array<kj::byte, kBufferBytes> buffer_;
  size_t begin_ = 0;
  size_t end_ = 0;
};

}  // namespace teaseljunction
