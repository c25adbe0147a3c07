#pragma once

#include <capnp/message.h>
#include <capnp/serialize-async.h>
#include <kj/async-io.h>
#include <kj/exception.h>

#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/log_limiter.h"

namespace teaseljunction {

/// Writes a line of the RPC module at a bounded rate.
void LogRpcLimited(log_limiter& limiter, absl::string_view line);

/// Messages over a socket. Logs why reading failed, which the RPC system does not tell.
class logged_message_stream final : public capnp::MessageStream {
 public:
  logged_message_stream(kj::AsyncIoStream& stream, std::string peer, log_limiter& limiter)
      : messages_(stream), peer_(std::move(peer)), limiter_(limiter) {}

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
      kj::ArrayPtr<kj::AutoCloseFd> fds, capnp::ReaderOptions options,
      kj::ArrayPtr<capnp::word> scratch) override;
  kj::Promise<void> writeMessage(
      kj::ArrayPtr<const int> fds,
      kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override {
    return messages_.writeMessage(fds, segments);
  }
  kj::Promise<void> writeMessages(
      kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override {
    return messages_.writeMessages(messages);
  }
  kj::Maybe<int> getSendBufferSize() override { return messages_.getSendBufferSize(); }
  kj::Promise<void> end() override { return messages_.end(); }

 private:
  capnp::AsyncIoMessageStream messages_;
  const std::string peer_;
  log_limiter& limiter_;
};

/// Returns the options that bound a message to `max_bytes`.
capnp::ReaderOptions MessageLimits(size_t max_bytes);

/// Sets the options of a connection between daemons: no delay of small segments, and an error when
/// sent data is not acknowledged within a few seconds.
void SetSocketOptions(int fd);

/// Returns "IP:port" of the other end of a connection.
std::string PeerName(kj::AsyncIoStream& stream);

/// Converts to KJ's duration, with at least zero and at most a day.
kj::Duration ToKj(absl::Duration duration);

}  // namespace teaseljunction
