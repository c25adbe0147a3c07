#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "http/http_server.h"
#include "http/tests/raw_socket.h"

namespace teaseljunction {
namespace {

constexpr size_t kBodyBytes = 100'000;
constexpr size_t kPieces = 10;
constexpr absl::Duration kBodyTimeout = absl::Seconds(2);
constexpr absl::Duration kPieceInterval = absl::Milliseconds(400);

class counting_handler : public http_handler {
 public:
  void Handle(http_request request, std::shared_ptr<http_exchange> exchange) override {
    exchange->Respond({200, {}, absl::StrCat("<", request.body.size(), ">")});
  }
};

// A server whose account has room for two bodies.
struct body_server {
  body_server() {
    server = http_server_builder()
                 .Address("127.0.0.1:0")
                 .Threads(2)
                 .Memory(memory)
                 .BodyTimeout(kBodyTimeout)
                 .Handler(&handler)
                 .Build();
    const auto started = Capture<uint16_t>([&] { return server->Start(); });
    REQUIRE(started.index() == 0);
    port = std::get<0>(started);
  }

  std::shared_ptr<request_memory> memory =
      std::make_shared<request_memory>(2 * kBodyBytes + kBodyBytes / 2);
  counting_handler handler;
  std::unique_ptr<http_server> server;
  uint16_t port = 0;
};

std::string Head(size_t length) {
  return absl::StrCat("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: ", length, "\r\n\r\n");
}

}  // namespace

// Guards against clients that hold memory for as long as they like.
TEST_CASE("an incomplete body without input loses its connection") {
  const body_server fixture;
  const raw_socket stalled = raw_socket::Connect(fixture.port);
  stalled.Write(Head(kBodyBytes) + std::string(kBodyBytes - 1, 'a'));
  CHECK(stalled.ReadAll().empty());
  CHECK(fixture.memory->Status().held_bytes == 0);
}

// Guards against a limit on the time that a body may take.
TEST_CASE("a body that arrives slowly is served") {
  const body_server fixture;
  const raw_socket slow = raw_socket::Connect(fixture.port);
  slow.Write(Head(kBodyBytes));
  for (size_t piece = 0; piece < kPieces; ++piece) {
    absl::SleepFor(kPieceInterval);
    slow.Write(std::string(kBodyBytes / kPieces, 'a'));
  }
  CHECK(absl::StrContains(slow.ReadUntil("<100000>"), "<100000>"));
}

// Guards against stalled bodies that keep all others out, and against small requests that wait.
TEST_CASE("stalled bodies make room for others") {
  const body_server fixture;
  std::vector<raw_socket> stalled;
  for (int i = 0; i < 2; ++i) {
    stalled.push_back(raw_socket::Connect(fixture.port));
    stalled.back().Write(Head(kBodyBytes) + std::string(kBodyBytes / 2, 'a'));
    // Both are let in before the third.
    absl::SleepFor(kPieceInterval);
  }
  const raw_socket whole = raw_socket::Connect(fixture.port);
  whole.Write(Head(kBodyBytes) + std::string(kBodyBytes, 'a'));
  const raw_socket small = raw_socket::Connect(fixture.port);
  small.Write(Head(5) + "1 mat");
  CHECK(absl::StrContains(small.ReadUntil("<5>"), "<5>"));
  CHECK(absl::StrContains(whole.ReadUntil("<100000>"), "<100000>"));
  const std::string refusal = stalled[0].ReadUntil("}") + stalled[1].ReadUntil("}");
  CHECK(absl::StrContains(refusal, " 503 "));
  CHECK(absl::StrContains(refusal, "Teaseljunction-Outcome: not-run"));
  CHECK(fixture.memory->Status().given_up_bodies >= 1);
}

}  // namespace teaseljunction
