#pragma once

#include <kj/async-io.h>
#include <kj/function.h>
#include <kj/timer.h>

#include <array>
#include <vector>

#include "event_loop/event_loop.h"
#include "rpc/internal/message_memory.h"

namespace teaseljunction {

/// Stream with buffers for both directions. The RPC system reads each message in several parts,
/// each of which would otherwise be a system call, and writes messages one by one, each of which
/// would wake up the peer. The read of a large message fails if too many of them are being received
/// already.
///
/// Small writes complete at once. They are sent together after all pending events of the loop, and
/// those of `DelayNextWrite` with the next write or after a short time. After a write that failed,
/// all further ones fail, and reading ends.
class buffered_stream final : public kj::AsyncIoStream {
 public:
  /// `memory`, `timer` and `loop` must outlive the stream. `loop` is null on a thread of its own.
  buffered_stream(kj::Own<kj::AsyncIoStream> inner, message_memory& memory, kj::Timer& timer,
                  event_loop* loop)
      : inner_(kj::mv(inner)), memory_(memory), timer_(timer), loop_(loop) {}

  /// Lets the next write wait for one that follows it.
  void DelayNextWrite() { delays_next_write_ = true; }

  /// Returns the number of bytes that have been written to the stream and not yet been sent.
  size_t UnsentBytes() const { return queued_.size() + sending_.size(); }

  // NOLINTBEGIN(readability-identifier-naming): names of the KJ interface.
  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, size_t size) override;
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override { return inner_->whenWriteDisconnected(); }
  void shutdownWrite() override;
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
  /// Limit of the bytes that are queued for sending. A write beyond it waits until they are sent.
  static constexpr size_t kMaxQueuedBytes = size_t{64} << 10;

  // Moves up to `max_bytes` buffered bytes to `out` and returns their number.
  size_t TakeBuffered(kj::byte* out, size_t max_bytes);
  kj::Promise<size_t> ReadRemaining(kj::byte* out, size_t bytes_read, size_t min_bytes,
                                    size_t max_bytes);

  // Adds a write to the queue. Returns false, without having done so, if it is too large or an
  // earlier one has failed.
  bool Queue(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces);
  // Runs `write` once the queued bytes have been sent.
  kj::Promise<void> AfterQueued(kj::Function<kj::Promise<void>()> write);
  // Sends the queued bytes once the loop has handled its pending events, unless that is under way.
  void StartSending();
  // Starts to send after a short time, unless a write that is not delayed does so earlier.
  void StartSendingLater();
  kj::Promise<void> SendQueued();
  void OnSendFailure(kj::Exception&& failure);

  kj::Own<kj::AsyncIoStream> inner_;
  message_memory& memory_;
  kj::Timer& timer_;
  event_loop* const loop_;
  std::array<kj::byte, kBufferBytes> buffer_;
  size_t begin_ = 0;
  size_t end_ = 0;
  std::vector<kj::byte> queued_;
  std::vector<kj::byte> sending_;
  bool delays_next_write_ = false;
  bool sending_started_ = false;
  bool delay_started_ = false;
  bool ends_after_sending_ = false;
  kj::Maybe<kj::Exception> failure_;
  kj::ForkedPromise<void> sent_ = nullptr;
  kj::Promise<void> delayed_ = nullptr;
  kj::Promise<void> delay_over_ = nullptr;
};

}  // namespace teaseljunction
