#include "rpc/internal/kj_support.h"

#include <arpa/inet.h>
#include <capnp/rpc.capnp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"
#include "common/log.h"

namespace teaseljunction {
namespace {

/// Shorter than the 3 s after which an unresponsive daemon is removed from the directory.
constexpr unsigned kUnacknowledgedTimeoutMs = 2500;

// Returns true for the message that releases an answer which has arrived. The one that cancels a
// call has the same type, and differs in that it releases the capabilities of a future answer.
bool IsRelease(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) {
  capnp::SegmentArrayMessageReader reader(segments);
  const auto message = reader.getRoot<capnp::rpc::Message>();
  return message.isFinish() && !message.getFinish().getReleaseResultCaps();
}

}  // namespace

void LogRpcWarning(log_limiter& limiter, absl::string_view message) {
  const auto suppressed = limiter.Allow();
  if (!suppressed) return;
  LOG(WARNING) << "rpc: " << message
               << (*suppressed > 0 ? absl::StrCat(" (", *suppressed, " messages suppressed)") : "");
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> logging_message_stream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> fds, capnp::ReaderOptions options,
    kj::ArrayPtr<capnp::word> scratch) {
  return messages_.tryReadMessage(fds, options, scratch)
      .catch_([this](kj::Exception&& failure) -> kj::Maybe<capnp::MessageReaderAndFds> {
        if (failure.getType() != kj::Exception::Type::DISCONNECTED) {
          LogRpcWarning(limiter_, absl::StrCat("closing the connection to ", peer_, ": ",
                                               failure.getDescription().cStr()));
        }
        kj::throwFatalException(kj::mv(failure));
      });
}

kj::Promise<void> logging_message_stream::writeMessage(
    kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) {
  if (IsRelease(segments)) stream_.DelayNextWrite();
  return messages_.writeMessage(fds, segments);
}

capnp::ReaderOptions MessageLimits(size_t max_bytes) {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = max_bytes / sizeof(capnp::word);
  return options;
}

void SetSocketOptions(int fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
  const unsigned timeout = kUnacknowledgedTimeoutMs;
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

std::string PeerAddress(kj::AsyncIoStream& stream) {
  sockaddr_storage storage = {};
  socklen_t length = sizeof(storage);
  const int fd = stream.getFd().orDefault(-1);
  // Unlike the method of the stream, the function reports a failure without an exception.
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&storage), &length) != 0) return "unknown";
  std::array<char, INET6_ADDRSTRLEN> text = {};
  if (storage.ss_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    return absl::StrCat("[", text.data(), "]:", ntohs(v6->sin6_port));
  }
  const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
  inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
  return absl::StrCat(text.data(), ":", ntohs(v4->sin_port));
}

kj::Duration ToKjDuration(absl::Duration duration) {
  const absl::Duration clamped = std::clamp(duration, absl::ZeroDuration(), absl::Hours(24));
  return absl::ToInt64Nanoseconds(clamped) * kj::NANOSECONDS;
}

}  // namespace teaseljunction
