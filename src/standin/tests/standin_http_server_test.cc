#include "standin/standin_http_server.h"

#include <catch2/catch.hpp>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "common/random_source.h"
#include "http/tests/raw_socket.h"

namespace teaseljunction {
namespace {

uint16_t PortOf(const std::string& address) {
  uint32_t port = 0;
  REQUIRE(absl::SimpleAtoi(address.substr(address.rfind(':') + 1), &port));
  return static_cast<uint16_t>(port);
}

}  // namespace

// Guards against a stand-in whose replies cannot be matched to their requests.
TEST_CASE("every reply of the stand-in repeats the context of its request") {
  const system_clock_source clock;
  system_random_source random;
  service_runner runner({.service = "stock", .service_time = absl::Milliseconds(1)}, clock, random);
  standin_http_server server(runner, [](const standin_request&) { return standin_reply{}; });
  const auto bound = Capture<std::string>([&] { return server.Listen("127.0.0.1:0"); });
  REQUIRE(bound.index() == 0);
  {
    const raw_socket connection = raw_socket::Connect(PortOf(std::get<0>(bound)));
    for (const char* path : {"/stock/1", "/stock/2", "/standin/stats"}) {
      const std::string header = absl::StrCat("Teaseljunction-Context: ", path, "\r\n");
      connection.Write(absl::StrCat("GET ", path, " HTTP/1.1\r\nHost: a\r\n", header, "\r\n"));
      CHECK(absl::StrContains(connection.ReadUntil("\r\n\r\n"), header));
    }
  }
  CHECK(server.WaitUntilIdle(absl::Seconds(10)));
}

}  // namespace teaseljunction
