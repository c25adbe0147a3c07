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
#include "rpc/internal/buffered_stream.h"

namespace teaseljunction {

/// Logs a warning of the RPC module at a bounded rate. Thread-safe.
void LogRpcWarning(log_limiter& limiter, absl::string_view message);

/// Message stream over a socket that logs why reading failed, which the RPC system does not report.
/// Disconnects are not logged. The message with which the RPC system releases the answer to a call
/// is sent with the next one.
class logging_message_stream final : public capnp::MessageStream {
 public:
  logging_message_stream(buffered_stream& stream, std::string peer, log_limiter& limiter)
      : stream_(stream), messages_(stream), peer_(std::move(peer)), limiter_(limiter) {}

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
      kj::ArrayPtr<kj::AutoCloseFd> fds, capnp::ReaderOptions options,
      kj::ArrayPtr<capnp::word> scratch) override;
  kj::Promise<void> writeMessage(
      kj::ArrayPtr<const int> fds,
      kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
  kj::Promise<void> writeMessages(
      kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override {
    return messages_.writeMessages(messages);
  }
  kj::Maybe<int> getSendBufferSize() override { return messages_.getSendBufferSize(); }
  kj::Promise<void> end() override { return messages_.end(); }

 private:
  buffered_stream& stream_;
  capnp::AsyncIoMessageStream messages_;
  const std::string peer_;
  log_limiter& limiter_;
};

/// Returns the options that limit the size of a received message to `max_bytes`.
capnp::ReaderOptions MessageLimits(size_t max_bytes);

/// Sets the options of a TCP connection between daemons: small segments are sent without delay,
/// keep-alive probes are sent, and the connection fails when sent data is not acknowledged within a
/// few seconds. Errors are ignored.
void SetSocketOptions(int fd);

/// Returns the "IP:port" of the remote end of a connection; IPv6 addresses are in brackets. Returns
/// "unknown" when the remote end has already reset the connection.
std::string PeerAddress(kj::AsyncIoStream& stream);

/// Converts to a KJ duration, clamped to the range from zero to 24 hours.
kj::Duration ToKjDuration(absl::Duration duration);

}  // namespace teaseljunction
