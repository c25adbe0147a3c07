#include "http/http_server.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "event_loop/event_loop.h"
#include "http/problem.h"
#include "http/tests/raw_socket.h"

namespace teaseljunction {
namespace {

// The server reads and discards 16 MiB before it closes the connection, 256 KiB per turn.
constexpr int kMinTurns = 60;

using handler_function = std::function<void(http_request, std::shared_ptr<http_exchange>)>;

class function_handler : public http_handler {
 public:
  explicit function_handler(handler_function handle) : handle_(std::move(handle)) {}
  void Handle(http_request request, std::shared_ptr<http_exchange> exchange) override {
    handle_(std::move(request), std::move(exchange));
  }

 private:
  const handler_function handle_;
};

/// Responds with the method, path and body of the request.
void Echo(const http_request& request, http_exchange& exchange) {
  exchange.Respond({200, {}, absl::StrCat(request.method, " ", request.path, " ", request.body)});
}

void EchoSynchronously(http_request request, std::shared_ptr<http_exchange> exchange) {
  Echo(request, *exchange);
}

/// Responds from another thread.
void EchoAsynchronously(http_request request, std::shared_ptr<http_exchange> exchange) {
  std::thread([request = std::move(request), exchange = std::move(exchange)] {
    Echo(request, *exchange);
  }).detach();
}

struct test_server {
  explicit test_server(handler_function handle, absl::Duration idle = absl::Seconds(30))
      : handler(std::move(handle)) {
    const bool on_loop = GENERATE(false, true);
    if (on_loop) loop = std::make_unique<event_loop>(clock);
    server = http_server_builder()
                 .Address("127.0.0.1:0")
                 .Threads(2)
                 .Loop(loop.get())
                 .MaxBodyBytes(1000)
                 .MaxHeaderBytes(4096)
                 .IdleTimeout(idle)
                 .DrainLinger(absl::Milliseconds(300))
                 .Handler(&handler)
                 .Build();
    const auto started = Capture<uint16_t>([&] { return server->Start(); });
    REQUIRE(started.index() == 0);
    port = std::get<0>(started);
  }

  const system_clock_source clock;
  std::unique_ptr<event_loop> loop;
  function_handler handler;
  std::unique_ptr<http_server> server;
  uint16_t port = 0;
};

std::string Request(absl::string_view line, absl::string_view headers = "",
                    absl::string_view body = "") {
  return absl::StrCat(line, " HTTP/1.1\r\nHost: a\r\n", headers, "\r\n", body);
}

struct request_case {
  std::string name;
  std::string request;
  std::string status;
};

struct endless_request {
  std::string name;
  std::string start;
  std::string repeated;
};

}  // namespace

// Guards against requests that reach the handler although they are too large or ambiguous, and
// against refusals with the wrong status.
TEST_CASE("invalid requests are refused before they reach the handler") {
  const std::string big(2000, 'x');
  const std::vector<request_case> cases = {
      {"body over the limit", Request("POST /", "Content-Length: 2000\r\n", big), "413"},
      {"body over the limit, not sent", Request("POST /", "Content-Length: 99999999\r\n"), "413"},
      {"expected body over the limit",
       Request("POST /", "Content-Length: 2000\r\nExpect: 100-continue\r\n"), "413"},
      {"chunks over the limit",
       Request("POST /", "Transfer-Encoding: chunked\r\n", "7d0\r\n" + big + "\r\n0\r\n\r\n"),
       "413"},
      {"headers over the limit", Request("GET /", "A: " + big + "\r\nB: " + big + big + "\r\n"),
       "431"},
      {"no request line", "\x01\x02garbage\r\n\r\n", "400"},
      {"space in the target", Request("GET /a b"), "400"},
      {"two hosts", Request("GET /", "Host: b\r\n"), "400"},
      {"unknown encoding", Request("POST /", "Transfer-Encoding: gzip\r\n"), "400"},
      {"two encodings", Request("POST /", "Transfer-Encoding: gzip, chunked\r\n"), "400"},
      {"not HTTP", "garbage xyz\r\n\r\n", "400"},
      {"unknown HTTP version", "GET / HTTP/3.1\r\n\r\n", "505"},
      {"header without a colon", Request("GET /", "ab\r\n"), "400"},
      {"no Host header", "GET / HTTP/1.1\r\n\r\n", "400"},
      {"target is not a path", Request("GET http://a/b"), "400"},
      {"two lengths", Request("POST /", "Content-Length: 1\r\nContent-Length: 2\r\n", "12"), "400"},
      {"length and chunks",
       Request("POST /", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
       "400"},
      {"length is not a number", Request("POST /", "Content-Length: 1x\r\n", "1"), "400"},
  };
  std::atomic<int> handled = 0;
  test_server running([&](http_request request, std::shared_ptr<http_exchange> exchange) {
    ++handled;
    Echo(request, *exchange);
  });
  for (const request_case& refused : cases) {
    INFO(refused.name);
    const raw_socket client = raw_socket::Connect(running.port);
    client.Write(refused.request);
    const std::string response = client.ReadUntil("\r\n");
    CHECK(response.substr(std::min<size_t>(response.size(), 9), 3) == refused.status);
  }
  CHECK(handled == 0);
  const raw_socket client = raw_socket::Connect(running.port);
  client.Write(Request("GET /after"));
  CHECK(absl::StrContains(client.ReadUntil("GET /after "), "GET /after "));
}

// Guards against requests without end that are read without a limit or keep others from the server.
TEST_CASE("requests without end are cut off") {
  const std::vector<endless_request> cases = {
      {"request line", "GET /", "x"},
      {"header line", "GET / HTTP/1.1\r\nHost: a\r\nA: ", "x"},
      {"header lines", "GET / HTTP/1.1\r\nHost: a\r\n", "A: b\r\n"},
      {"chunks", Request("POST /", "Transfer-Encoding: chunked\r\n"), "1\r\nx\r\n"},
      {"chunk size", Request("POST /", "Transfer-Encoding: chunked\r\n"), "0"},
      {"chunk extension", Request("POST /", "Transfer-Encoding: chunked\r\n") + "1;", "x"},
      {"trailers", Request("POST /", "Transfer-Encoding: chunked\r\n") + "0\r\n", "A: b\r\n"},
      {"blank lines", "", "\r\n"},
      {"no protocol", "", "x"},
      {"zero bytes", "", std::string(1, '\0')},
  };
  std::atomic<int> handled = 0;
  test_server running(
      [&](http_request request, std::shared_ptr<http_exchange> exchange) {
        if (request.path != "/other") ++handled;
        Echo(request, *exchange);
      },
      absl::Seconds(1));
  const size_t max_sent_bytes = size_t{256} << 20;
  for (const endless_request& tested : cases) {
    INFO(tested.name);
    std::string block;
    while (block.size() < 65536) block += tested.repeated;
    const raw_socket client = raw_socket::Connect(running.port);
    bool open = client.Write(tested.start);
    size_t sent_bytes = 0;
    for (; open && sent_bytes < max_sent_bytes; sent_bytes += block.size()) {
      open = client.Write(block);
    }
    CHECK_FALSE(open);
    const raw_socket other = raw_socket::Connect(running.port);
    other.Write(Request("GET /other"));
    CHECK(absl::EndsWith(other.ReadUntil("GET /other "), "GET /other "));
  }
  CHECK(handled == 0);
}

// Guards against a request without end that keeps the loop from its other work, and against a share
// of each turn that grows with every notification of input.
TEST_CASE("a request without end does not hold up the event loop") {
  test_server running(EchoSynchronously, absl::Seconds(5));
  // With several senders, input arrives faster than it is read. Each write is a notification.
  const int senders = GENERATE(1, 4);
  const std::string block(65536, 'x');
  const raw_socket client = raw_socket::Connect(running.port);
  client.Write(Request("POST /", "Transfer-Encoding: chunked\r\n") + "1;");
  client.Write(block);
  absl::Notification closed;
  std::atomic<int> sending = senders;
  std::vector<std::thread> sender_threads;
  for (int i = 0; i < senders; ++i) {
    sender_threads.emplace_back([&] {
      while (client.Write(block)) {
      }
      if (--sending == 0) closed.Notify();
    });
  }
  // Runs in turn with the server's work until the connection is closed.
  std::atomic<int> turns = 0;
  absl::Notification ended;
  std::function<void()> take_turn = [&] {
    if (closed.HasBeenNotified()) return ended.Notify();
    ++turns;
    // Other work, during which more input arrives.
    absl::SleepFor(absl::Milliseconds(1));
    running.loop->Post([&] { take_turn(); });
  };
  if (running.loop != nullptr) {
    running.loop->Post([&] { take_turn(); });
    ended.WaitForNotification();
    CHECK(turns >= kMinTurns);
  }
  for (std::thread& sender : sender_threads) sender.join();
}

// Guards against responses on the wrong connection, a changed target and a lost body.
TEST_CASE("requests on persistent connections get their own responses") {
  const handler_function handle =
      GENERATE(handler_function(EchoSynchronously), handler_function(EchoAsynchronously));
  test_server running(handle);
  std::vector<std::thread> clients;
  std::atomic<int> correct = 0;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back([&, i] {
      const raw_socket client = raw_socket::Connect(running.port);
      for (int j = 0; j < 50; ++j) {
        const std::string target = absl::StrCat("/a%20b/", i, "?q=", j);
        const std::string expected = absl::StrCat("POST ", target, " body");
        client.Write(Request("POST " + target, "Content-Length: 4\r\n", "body"));
        if (absl::EndsWith(client.ReadUntil(expected), expected)) ++correct;
      }
    });
  }
  for (std::thread& client : clients) client.join();
  CHECK(correct == 400);
}

// Guards against work for a client that has disconnected, against a callback that runs after the
// response, and against a response written to the next connection with the same descriptor.
TEST_CASE("a client disconnect is reported once") {
  absl::Mutex mutex;
  std::vector<std::shared_ptr<http_exchange>> exchanges;
  std::atomic<int> disconnects = 0;
  test_server running([&](http_request request, std::shared_ptr<http_exchange> exchange) {
    exchange->OnDisconnect([&] { ++disconnects; });
    if (request.path == "/wait") {
      absl::MutexLock lock(&mutex);
      exchanges.push_back(exchange);
      return;
    }
    Echo(request, *exchange);
  });
  const int clients = 20;
  for (int i = 0; i < clients; ++i) {
    raw_socket client = raw_socket::Connect(running.port);
    client.Write(Request("GET /wait"));
    mutex.LockWhen(absl::Condition(
        +[](std::vector<std::shared_ptr<http_exchange>>* all) { return !all->empty(); },
        &exchanges));
    mutex.Unlock();
    client.Close();
    // The next connection often reuses the descriptor of the closed one.
    const raw_socket next = raw_socket::Connect(running.port);
    next.Write(Request("GET /next"));
    {
      absl::MutexLock lock(&mutex);
      exchanges.back()->Respond({200, {}, "late"});
      exchanges.clear();
    }
    CHECK(absl::EndsWith(next.ReadUntil("GET /next "), "GET /next "));
  }
  CHECK(disconnects <= clients);
  raw_socket client = raw_socket::Connect(running.port);
  disconnects = 0;
  client.Write(Request("GET /wait"));
  mutex.LockWhen(absl::Condition(
      +[](std::vector<std::shared_ptr<http_exchange>>* all) { return !all->empty(); }, &exchanges));
  mutex.Unlock();
  client.Close();
  for (int i = 0; i < 5000 && disconnects == 0; ++i) absl::SleepFor(absl::Milliseconds(2));
  CHECK(disconnects == 1);
  absl::MutexLock lock(&mutex);
  exchanges.clear();
}

TEST_CASE("a server without a handler does not start") {
  const auto server = http_server_builder().Address("127.0.0.1:0").Build();
  const auto started = Capture<uint16_t>([&] { return server->Start(); });
  REQUIRE(std::holds_alternative<error>(started));
  CHECK(std::get<error>(started).kind == error_kind::kSettingInvalid);
}

// Guards against a connection that stays suspended after its handler has dropped the exchange.
TEST_CASE("an exchange dropped without a response is answered with an internal error") {
  test_server running([](const http_request&, const std::shared_ptr<http_exchange>&) {});
  const raw_socket client = raw_socket::Connect(running.port);
  client.Write(Request("GET /"));
  const std::string response = client.ReadUntil("}");
  CHECK(absl::StrContains(response, " 500 "));
  CHECK(absl::StrContains(response, "Teaseljunction-Outcome: may-have-run"));
}

// Guards against an internal error in place of a response that another thread has just given.
TEST_CASE("a response wins over the release of its exchange on the loop") {
  std::shared_ptr<http_exchange> held_exchange;
  absl::Notification arrived;
  test_server running([&](const http_request&, std::shared_ptr<http_exchange> exchange) {
    held_exchange = std::move(exchange);
    arrived.Notify();
  });
  const raw_socket client = raw_socket::Connect(running.port);
  client.Write(Request("GET /"));
  arrived.WaitForNotification();
  const auto respond_and_release = [&] {
    std::thread([&] { held_exchange->Respond({200, {}, "response"}); }).join();
    held_exchange.reset();
  };
  if (running.loop != nullptr) {
    running.loop->RunAndWait(respond_and_release);
  } else {
    respond_and_release();
  }
  const std::string response = client.ReadUntil("response");
  CHECK(absl::StrContains(response, " 200 "));
  CHECK(absl::EndsWith(response, "response"));
}

// Guards against clients that hold connections open without sending a request.
TEST_CASE("an idle connection is closed after the idle timeout") {
  test_server running(EchoSynchronously, absl::Seconds(1));
  const raw_socket client = raw_socket::Connect(running.port);
  CHECK(client.ReadAll().empty());
}

// Guards against a graceful stop that aborts a running request, or one that arrives on a persistent
// connection during the stop.
TEST_CASE("drain answers running and arriving requests") {
  absl::Notification release;
  absl::Notification arrived;
  test_server running([&](http_request request, std::shared_ptr<http_exchange> exchange) {
    if (request.path != "/slow") {
      Echo(request, *exchange);
      return;
    }
    arrived.Notify();
    std::thread([&, request, exchange] {
      release.WaitForNotification();
      Echo(request, *exchange);
    }).detach();
  });
  const raw_socket slow = raw_socket::Connect(running.port);
  slow.Write(Request("GET /slow"));
  arrived.WaitForNotification();
  const raw_socket persistent = raw_socket::Connect(running.port);
  persistent.Write(Request("GET /first"));
  persistent.ReadUntil("GET /first ");
  bool drained = false;
  std::thread drain([&] { drained = running.server->Drain(absl::Seconds(20)); });
  // Wait until the drain has closed the listening socket.
  for (int i = 0; i < 5000 && raw_socket::Connect(running.port).connected(); ++i) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  persistent.Write(Request("GET /second"));
  const std::string second = persistent.ReadAll();
  CHECK(absl::StrContains(second, "Connection: close"));
  CHECK(absl::EndsWith(second, "GET /second "));
  release.Notify();
  CHECK(absl::EndsWith(slow.ReadAll(), "GET /slow "));
  drain.join();
  CHECK(drained);
}

// Guards against a close after one answer that drops requests which have been received behind it.
TEST_CASE("requests received before the last answer of a connection are answered") {
  const std::string post = Request("POST /body", "Content-Length: 3\r\n", "abc");
  const std::string second = Request("GET /second");
  struct pipeline {
    std::string name;
    std::string warm_up;
    std::string written_at_once;
    std::string written_later;
  };
  const std::vector<pipeline> pipelines = {
      {"in one segment", "", Request("GET /slow") + second, ""},
      {"in two segments", "", Request("GET /slow"), second},
      {"on a used connection", Request("GET /first"), Request("GET /slow") + second, ""},
      {"behind a body", "", post + Request("GET /slow") + second, ""},
      {"three requests", "", Request("GET /slow") + post, second},
  };
  for (const pipeline& tested : pipelines) {
    INFO(tested.name);
    absl::Notification release;
    absl::Notification arrived;
    test_server running([&](const http_request& request, std::shared_ptr<http_exchange> exchange) {
      if (request.path != "/slow") return Echo(request, *exchange);
      arrived.Notify();
      std::thread([&, request, exchange] {
        release.WaitForNotification();
        Echo(request, *exchange);
      }).detach();
    });
    const raw_socket client = raw_socket::Connect(running.port);
    if (!tested.warm_up.empty()) {
      client.Write(tested.warm_up);
      client.ReadUntil("GET /first ");
    }
    client.Write(tested.written_at_once);
    arrived.WaitForNotification();
    client.Write(tested.written_later);
    running.server->DisableKeepAlive();
    release.Notify();
    const std::string received = client.ReadAll();
    CHECK(absl::StrContains(received, "GET /slow "));
    CHECK(absl::StrContains(received, "GET /second "));
    CHECK(absl::StrContains(received, "Connection: close"));
  }
}

// Guards against a drain that drops a request which was received long ago behind a slow answer.
TEST_CASE("a request received behind a slow answer is answered late in a drain") {
  absl::Notification arrived;
  test_server running([&](const http_request& request, std::shared_ptr<http_exchange> exchange) {
    if (request.path != "/slow") return Echo(request, *exchange);
    arrived.Notify();
    std::thread([request, exchange] {
      absl::SleepFor(absl::Seconds(2));
      Echo(request, *exchange);
    }).detach();
  });
  const raw_socket client = raw_socket::Connect(running.port);
  client.Write(Request("GET /slow") + Request("GET /second"));
  arrived.WaitForNotification();
  CHECK(running.server->Drain(absl::Seconds(10)));
  const std::string received = client.ReadAll();
  INFO(received);
  CHECK(absl::StrContains(received, "GET /slow "));
  const bool answered = absl::StrContains(received, "GET /second ");
  CHECK((answered || absl::StrContains(received, "error:draining")));
}

// Guards against a request that never arrives completely and keeps a stop open until its time
// limit.
TEST_CASE("drain does not wait for the rest of a request without end") {
  constexpr absl::string_view incomplete_requests[] = {
      "GET /a HTTP/1.1\r\nHost: te",
      "POST /a HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\n123",
      "POST /a HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n"};
  std::atomic<bool> handled = false;
  test_server running([&](const http_request& request, std::shared_ptr<http_exchange> exchange) {
    if (request.path == "/a") handled = true;
    Echo(request, *exchange);
  });
  std::vector<raw_socket> clients;
  for (const absl::string_view part : incomplete_requests) {
    clients.push_back(raw_socket::Connect(running.port));
    clients.back().Write(Request("GET /first"));
    clients.back().ReadUntil("GET /first ");
    clients.back().Write(part);
  }
  CHECK(running.server->Drain(absl::Seconds(10)));
  CHECK_FALSE(handled);
}

// Guards against a client that waits for a response until the end of the stop, and against "not
// run" for a request that may have run.
TEST_CASE("stop answers requests that are still running") {
  std::shared_ptr<http_exchange> held_exchange;
  absl::Notification arrived;
  test_server running([&](const http_request&, std::shared_ptr<http_exchange> exchange) {
    held_exchange = std::move(exchange);
    arrived.Notify();
  });
  const raw_socket client = raw_socket::Connect(running.port);
  client.Write(Request("GET /"));
  arrived.WaitForNotification();
  CHECK_FALSE(running.server->Drain(absl::Milliseconds(200)));
  CHECK(absl::StrContains(client.ReadAll(), "Teaseljunction-Outcome: may-have-run"));
  held_exchange->Respond({200, {}, "late"});
}

// Guards against a status, outcome or Retry-After header that differs from the error table.
TEST_CASE("problem documents follow the error table") {
  for (int i = 0; i < kErrorKindCount; ++i) {
    const error_answer& answer = AnswerFor(static_cast<error_kind>(i));
    const http_response response =
        ProblemResponse({answer.kind, "a \"b\"\n"}, "id1", absl::Milliseconds(1500));
    INFO(answer.name);
    CHECK(response.status == answer.status);
    CHECK(FindHeader(response.headers, "Teaseljunction-Outcome") ==
          (answer.run == run_state::kNotRun ? "not-run" : "may-have-run"));
    CHECK(FindHeader(response.headers, "Retry-After").value_or("") ==
          (answer.retry_after ? "2" : ""));
    CHECK(absl::StrContains(response.body, "\"detail\":\"a \\\"b\\\"\\u000a\""));
    CHECK(absl::StrContains(response.body, absl::StrCat("\"status\":", answer.status, ",")));
    CHECK(absl::EndsWith(response.body, ",\"requestId\":\"id1\"}"));
  }
}

}  // namespace teaseljunction
