#include "rpc/internal/kj_support.h"

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "common/sockets.h"

namespace teaseljunction {
namespace {

/// An accepted connection over loopback.
struct accepted_connection {
  accepted_connection() {
    const auto listening = Capture<int>([]() -> result<int> {
      BOOST_LEAF_AUTO(any, ParseSocketAddress("127.0.0.1:0"));
      return OpenListenSocket(any, false);
    });
    REQUIRE(listening.index() == 0);
    const int listen_fd = std::get<0>(listening);
    const auto target = Capture<socket_address>(
        [&] { return ParseSocketAddress(absl::StrCat("127.0.0.1:", BoundPort(listen_fd))); });
    client_fd = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(client_fd, std::get<0>(target).get(), std::get<0>(target).length) == 0);
    const int accepted_fd = accept(listen_fd, nullptr, nullptr);
    REQUIRE(accepted_fd >= 0);
    close(listen_fd);
    stream =
        io.lowLevelProvider->wrapSocketFd(accepted_fd, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP);
  }
  ~accepted_connection() {
    if (client_fd >= 0) close(client_fd);
  }

  /// Closes the client's end with a reset.
  void Reset() {
    const linger discard = {1, 0};
    setsockopt(client_fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    close(client_fd);
    client_fd = -1;
  }

  kj::AsyncIoContext io = kj::setupAsyncIo();
  int client_fd = -1;
  kj::Own<kj::AsyncIoStream> stream;
};

}  // namespace

// Guards against a client that resets its connection early and thereby delays all accepts.
TEST_CASE("the address of a client that has reset its connection is not an error") {
  accepted_connection connection;
  CHECK(absl::StartsWith(PeerAddress(*connection.stream), "127.0.0.1:"));
  connection.Reset();
  CHECK(PeerAddress(*connection.stream) == "unknown");
}

}  // namespace teaseljunction
