#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "event_loop/event_loop.h"
#include "http/http_server.h"
#include "http/tests/raw_socket.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kWaitLimit = absl::Seconds(20);
constexpr absl::Duration kPollInterval = absl::Milliseconds(2);

/// Holds each request until the test answers it.
class holding_handler : public http_handler {
 public:
  void Handle(http_request request, std::shared_ptr<http_exchange> exchange) override {
    exchange->OnDisconnect([this] { ++disconnects; });
    absl::MutexLock lock(&mutex_);
    order_.push_back(request.path);
    held_[request.path] = std::move(exchange);
  }

  /// Answers the request for `path` with the path as body.
  void Answer(const std::string& path) {
    std::shared_ptr<http_exchange> exchange;
    {
      absl::MutexLock lock(&mutex_);
      exchange = std::move(held_.at(path));
      held_.erase(path);
    }
    exchange->Respond({200, {}, absl::StrCat("<", path, ">")});
  }

  /// Returns false if there are not so many requests after a while.
  bool WaitFor(size_t requests) {
    const absl::Time limit = absl::Now() + kWaitLimit;
    while (Order().size() < requests) {
      if (absl::Now() > limit) return false;
      absl::SleepFor(kPollInterval);
    }
    return true;
  }

  /// Returns the paths of the requests in the order in which they were handled.
  std::vector<std::string> Order() {
    absl::MutexLock lock(&mutex_);
    return order_;
  }

  std::atomic<int> disconnects = 0;

 private:
  absl::Mutex mutex_;
  std::vector<std::string> order_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::shared_ptr<http_exchange>> held_ ABSL_GUARDED_BY(mutex_);
};

struct held_server {
  held_server() {
    if (GENERATE(false, true)) loop = std::make_unique<event_loop>(clock);
    server = http_server_builder()
                 .Address("127.0.0.1:0")
                 .Threads(2)
                 .Loop(loop.get())
                 .MaxBodyBytes(1000)
                 .MaxHeaderBytes(4096)
                 .MaxOverlapPerConnection(4, 100000)
                 .DrainLinger(absl::Milliseconds(200))
                 .Handler(&handler)
                 .Build();
    const auto started = Capture<uint16_t>([&] { return server->Start(); });
    REQUIRE(started.index() == 0);
    port = std::get<0>(started);
  }

  const system_clock_source clock;
  std::unique_ptr<event_loop> loop;
  holding_handler handler;
  std::unique_ptr<http_server> server;
  uint16_t port = 0;
};

std::string Get(absl::string_view path, absl::string_view headers = "") {
  return absl::StrCat("GET ", path, " HTTP/1.1\r\nHost: a\r\n", headers, "\r\n");
}

std::string Post(absl::string_view path, absl::string_view body = "abc") {
  return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: a\r\nContent-Length: ", body.size(),
                      "\r\n\r\n", body);
}

/// Returns true if `parts` stand in `text` in this order.
bool HasInOrder(absl::string_view text, const std::vector<std::string>& parts) {
  size_t position = 0;
  for (const std::string& part : parts) {
    position = text.find(part, position);
    if (position == absl::string_view::npos) return false;
    position += part.size();
  }
  return true;
}

struct broken_input {
  std::string name;
  std::string input;
  std::string status;
};

}  // namespace

// Guards against a short request that waits until a long one before it has been worked on.
TEST_CASE("requests sent ahead are handled together and answered in order") {
  held_server running;
  const raw_socket client = raw_socket::Connect(running.port);
  client.Write(Get("/a") + Get("/b") + Get("/c"));
  REQUIRE(running.handler.WaitFor(3));
  CHECK(running.handler.Order() == std::vector<std::string>{"/a", "/b", "/c"});
  running.handler.Answer("/c");
  running.handler.Answer("/b");
  running.handler.Answer("/a");
  CHECK(HasInOrder(client.ReadUntil("</c>"), {"</a>", "</b>", "</c>"}));
}

// Guards against a row that grows without a limit.
TEST_CASE("requests beyond the limit of a connection are handled when earlier ones are answered") {
  held_server running;
  const raw_socket client = raw_socket::Connect(running.port);
  std::string row;
  for (int i = 0; i < 12; ++i) row += Get(absl::StrCat("/", i));
  client.Write(row);
  REQUIRE(running.handler.WaitFor(5));
  absl::SleepFor(absl::Milliseconds(50));
  CHECK(running.handler.Order().size() == 5);
  for (int i = 0; i < 12; ++i) {
    REQUIRE(running.handler.WaitFor(static_cast<size_t>(i) + 1));
    running.handler.Answer(absl::StrCat("/", i));
  }
  CHECK(HasInOrder(client.ReadUntil("</11>"), {"</0>", "</5>", "</10>", "</11>"}));
}

// Guards against a request that must run once and is sent while another one can close the
// connection before it.
TEST_CASE("a request that may not be repeated is handled when all earlier ones are answered") {
  held_server running;
  const raw_socket client = raw_socket::Connect(running.port);
  client.Write(Get("/a") + Post("/order") + Get("/c"));
  REQUIRE(running.handler.WaitFor(1));
  absl::SleepFor(absl::Milliseconds(50));
  CHECK(running.handler.Order() == std::vector<std::string>{"/a"});
  running.handler.Answer("/a");
  REQUIRE(running.handler.WaitFor(2));
  absl::SleepFor(absl::Milliseconds(50));
  CHECK(running.handler.Order() == std::vector<std::string>{"/a", "/order"});
  running.handler.Answer("/order");
  REQUIRE(running.handler.WaitFor(3));
  running.handler.Answer("/c");
  CHECK(HasInOrder(client.ReadUntil("</c>"), {"</a>", "</order>", "</c>"}));
}

// Guards against work for the requests of a client that has left.
TEST_CASE("a client that leaves cancels all requests that it has sent") {
  held_server running;
  raw_socket client = raw_socket::Connect(running.port);
  client.Write(Get("/a") + Get("/b") + Get("/c") + Post("/order"));
  REQUIRE(running.handler.WaitFor(3));
  client.Close();
  for (int i = 0; i < 5000 && running.handler.disconnects < 3; ++i) absl::SleepFor(kPollInterval);
  CHECK(running.handler.disconnects == 3);
  CHECK(running.handler.Order().size() == 3);
}

// Guards against a client that leaves unnoticed while the server reads no further requests.
TEST_CASE("a client that leaves behind a full row cancels its requests") {
  held_server running;
  raw_socket client = raw_socket::Connect(running.port);
  std::string row;
  for (int i = 0; i < 2000; ++i) row += Get(absl::StrCat("/", i));
  client.Write(row);
  REQUIRE(running.handler.WaitFor(5));
  client.Close();
  for (int i = 0; i < 5000 && running.handler.disconnects < 5; ++i) absl::SleepFor(kPollInterval);
  CHECK(running.handler.disconnects == 5);
}

// Guards against requests that have run although their client sees them as not read.
TEST_CASE("requests behind one that closes the connection are not handled") {
  held_server running;
  const raw_socket client = raw_socket::Connect(running.port);
  client.Write(Get("/a") + Get("/b", "Connection: close\r\n") + Get("/c") + Post("/order"));
  REQUIRE(running.handler.WaitFor(2));
  running.handler.Answer("/b");
  running.handler.Answer("/a");
  const std::string received = client.ReadAll();
  CHECK(HasInOrder(received, {"</a>", "Connection: close", "</b>"}));
  CHECK(running.handler.Order().size() == 2);
}

// Guards against good requests that are lost because of a bad one behind them, and against bytes
// behind it that are taken for a request.
TEST_CASE("broken input in a row is refused behind the answers to earlier requests") {
  const std::vector<broken_input> cases = {
      {"broken head", "GET /x HTTP/1.1\r\nno colon\r\n\r\n", "400"},
      {"two lengths",
       "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12", "400"},
      {"length and chunks",
       "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
       "0\r\n\r\n",
       "400"},
      {"bad chunk", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
       "400"},
      {"long head",
       absl::StrCat("GET /x HTTP/1.1\r\nHost: a\r\nA: ", std::string(9000, 'x'), "\r\n\r\n"),
       "431"},
      {"long body", Post("/x", std::string(2000, 'x')), "413"},
  };
  for (const broken_input& tested : cases) {
    INFO(tested.name);
    held_server running;
    const raw_socket client = raw_socket::Connect(running.port);
    client.Write(Get("/a") + Get("/b") + tested.input + Get("/smuggled"));
    REQUIRE(running.handler.WaitFor(2));
    running.handler.Answer("/b");
    running.handler.Answer("/a");
    const std::string received = client.ReadAll();
    INFO(received);
    CHECK(HasInOrder(
        received, {"</a>", "</b>", absl::StrCat("HTTP/1.1 ", tested.status), "Connection: close"}));
    CHECK(running.handler.Order() == std::vector<std::string>{"/a", "/b"});
  }
}

// Guards against an answer that ends a row while a body in it is cut short.
TEST_CASE("a body that is cut short reaches no handler") {
  held_server running;
  raw_socket client = raw_socket::Connect(running.port);
  client.Write(Get("/a") + "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n123");
  REQUIRE(running.handler.WaitFor(1));
  client.Close();
  for (int i = 0; i < 5000 && running.handler.disconnects < 1; ++i) absl::SleepFor(kPollInterval);
  CHECK(running.handler.disconnects == 1);
  CHECK(running.handler.Order() == std::vector<std::string>{"/a"});
}

// Guards against a planned stop that drops requests in a row, or closes the connection before the
// last one.
TEST_CASE("a drain answers a row in order and closes the connection behind it") {
  held_server running;
  const raw_socket client = raw_socket::Connect(running.port);
  client.Write(Get("/a") + Get("/b") + Post("/order") + Get("/d"));
  REQUIRE(running.handler.WaitFor(2));
  bool drained = false;
  std::thread drain([&] { drained = running.server->Drain(kWaitLimit); });
  running.handler.Answer("/b");
  absl::SleepFor(absl::Milliseconds(400));
  running.handler.Answer("/a");
  REQUIRE(running.handler.WaitFor(3));
  running.handler.Answer("/order");
  REQUIRE(running.handler.WaitFor(4));
  running.handler.Answer("/d");
  const std::string received = client.ReadAll();
  CHECK(HasInOrder(received, {"</a>", "</b>", "</order>", "Connection: close", "</d>"}));
  CHECK(received.find("Connection: close") > received.find("</order>"));
  drain.join();
  CHECK(drained);
}

// Guards against "not run" for requests that may have run, and the reverse, at the end of a stop.
TEST_CASE("a stop tells which requests of a row have not run") {
  held_server running;
  const raw_socket client = raw_socket::Connect(running.port);
  client.Write(Get("/a") + Get("/b") + Post("/order"));
  REQUIRE(running.handler.WaitFor(2));
  running.server->Stop();
  const std::string received = client.ReadAll();
  INFO(received);
  CHECK(HasInOrder(received, {"may-have-run", "may-have-run", "not-run"}));
  CHECK(running.handler.Order().size() == 2);
}

// Guards against a body that never arrives because its client waits for a confirmation.
TEST_CASE("a client that expects a confirmation gets it when its turn has come") {
  held_server running;
  const raw_socket client = raw_socket::Connect(running.port);
  client.Write(Get("/a") +
               "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  REQUIRE(running.handler.WaitFor(1));
  running.handler.Answer("/a");
  CHECK(HasInOrder(client.ReadUntil("100 Continue\r\n\r\n"), {"</a>", "100 Continue"}));
  client.Write("abc");
  REQUIRE(running.handler.WaitFor(2));
  running.handler.Answer("/x");
  CHECK(absl::StrContains(client.ReadUntil("</x>"), " 200 "));
}

}  // namespace teaseljunction
