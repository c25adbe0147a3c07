#include "rpc/internal/buffered_stream.h"

#include <kj/debug.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace teaseljunction {
namespace {

// Longest time for which a delayed write waits for another one.
constexpr kj::Duration kMaxWriteDelay = 100 * kj::MILLISECONDS;

}  // namespace

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
        if (loop_ != nullptr) loop_->RecordActivity();
        begin_ = 0;
        end_ = read;
        if (read == 0) return bytes_read;
        return ReadRemaining(out, bytes_read, min_bytes, max_bytes);
      });
}

kj::Promise<void> buffered_stream::write(const void* buffer, size_t size) {
  const kj::ArrayPtr<const kj::byte> piece(static_cast<const kj::byte*>(buffer), size);
  if (Queue(kj::arrayPtr(&piece, 1))) return kj::READY_NOW;
  return AfterQueued([this, buffer, size] { return inner_->write(buffer, size); });
}

kj::Promise<void> buffered_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  if (Queue(pieces)) return kj::READY_NOW;
  return AfterQueued([this, pieces] { return inner_->write(pieces); });
}

bool buffered_stream::Queue(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  const bool delayed = std::exchange(delays_next_write_, false);
  size_t size = 0;
  for (const auto& piece : pieces) size += piece.size();
  if (failure_ != nullptr || queued_.size() + size > kMaxQueuedBytes) return false;
  for (const auto& piece : pieces) queued_.insert(queued_.end(), piece.begin(), piece.end());
  if (delayed) {
    StartSendingLater();
  } else {
    StartSending();
  }
  return true;
}

kj::Promise<void> buffered_stream::AfterQueued(kj::Function<kj::Promise<void>()> write) {
  KJ_IF_MAYBE (failure, failure_) {
    return kj::cp(*failure);
  }
  if (!queued_.empty()) StartSending();
  if (!sending_started_) return write();
  return sent_.addBranch().then(
      [this, write = kj::mv(write)]() mutable { return AfterQueued(kj::mv(write)); });
}

void buffered_stream::StartSending() {
  if (std::exchange(sending_started_, true)) return;
  sent_ = kj::evalLast([this] {
            return SendQueued();
          }).catch_([this](kj::Exception&& failure) {
              OnSendFailure(kj::mv(failure));
            }).fork();
  // Runs whether or not a write waits for it.
  delayed_ = sent_.addBranch().eagerlyEvaluate(nullptr);
  delay_started_ = false;
}

void buffered_stream::StartSendingLater() {
  if (sending_started_ || std::exchange(delay_started_, true)) return;
  delayed_ = timer_.afterDelay(kMaxWriteDelay)
                 .then([this] {
                   // In a separate event, because sending replaces the promise of the delay.
                   delay_over_ = kj::evalLater([this] { StartSending(); }).eagerlyEvaluate(nullptr);
                 })
                 .eagerlyEvaluate(nullptr);
}

kj::Promise<void> buffered_stream::SendQueued() {
  if (queued_.empty()) {
    sending_.clear();
    sending_started_ = false;
    if (ends_after_sending_) inner_->shutdownWrite();
    return kj::READY_NOW;
  }
  sending_.clear();
  std::swap(sending_, queued_);
  return inner_->write(sending_.data(), sending_.size()).then([this] { return SendQueued(); });
}

void buffered_stream::OnSendFailure(kj::Exception&& failure) {
  failure_ = kj::mv(failure);
  queued_.clear();
  sending_.clear();
  sending_started_ = false;
  // Ends the pending read, so that the connection is given up.
  inner_->abortRead();
}

void buffered_stream::shutdownWrite() {
  if (UnsentBytes() == 0) return inner_->shutdownWrite();
  ends_after_sending_ = true;
  StartSending();
}

}  // namespace teaseljunction
