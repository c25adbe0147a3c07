#include "http/curl_client.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "event_loop/event_loop.h"
#include "http/tests/raw_socket.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kLongTimeout = absl::Seconds(10);

using http_outcome = outcome<http_response>;

std::future<http_outcome> SendAsync(http_client& client, const std::string& address,
                                    bool at_most_once, absl::Duration timeout,
                                    uint64_t* id = nullptr) {
  auto promise = std::make_shared<std::promise<http_outcome>>();
  std::future<http_outcome> future = promise->get_future();
  http_request request{"POST", "/orders?a=b", {{"X-Test", "1"}}, "body"};
  const uint64_t sent = client.Send(address, std::move(request), at_most_once, timeout,
                                    [promise](http_outcome done) { promise->set_value(done); });
  if (id != nullptr) *id = sent;
  return future;
}

/// Builds a client with separate threads and, in a second run of the test, one on an event loop.
curl_client_builder Builder() {
  static const system_clock_source clock;
  static event_loop loop(clock);
  const bool on_loop = GENERATE(false, true);
  return curl_client_builder().Loop(on_loop ? &loop : nullptr);
}

error_kind KindOf(const http_outcome& done) {
  REQUIRE(done.index() == 1);
  return std::get<1>(done).kind;
}

std::string Response(absl::string_view headers, absl::string_view body) {
  return absl::StrCat("HTTP/1.1 200 OK\r\n", headers, "\r\n", body);
}

/// Sends a request that is idempotent and identified by `id`, which its server must repeat.
http_outcome SendNamed(http_client& client, const std::string& address, const std::string& id,
                       expected_answer expected = {}, const std::string& method = "POST") {
  std::promise<http_outcome> promise;
  http_request request{method, "/", {{"X-Id", id}, {"X-End", "body"}}, ""};
  if (method == "POST") request.body = "body";
  expected.echoed = {"X-Id", id};
  request.expected = std::move(expected);
  client.Send(address, std::move(request), false, kLongTimeout,
              [&](http_outcome done) { promise.set_value(std::move(done)); });
  return promise.get_future().get();
}

/// Returns the value of X-Id in the text of a request.
std::string IdOf(absl::string_view request) {
  constexpr absl::string_view name = "X-Id: ";
  const size_t begin = request.find(name) + name.size();
  return std::string(request.substr(begin, request.find('\r', begin) - begin));
}

std::string NamedResponse(absl::string_view id, int status = 200) {
  return absl::StrCat("HTTP/1.1 ", status, " Status\r\nX-Id: ", id,
                      "\r\nContent-Length: ", id.size(), "\r\n\r\n", id);
}

/// Returns the status and body of a response, or the kind of an error.
std::string Summary(const http_outcome& done) {
  if (done.index() == 1) return std::string(AnswerFor(std::get<1>(done).kind).name);
  return absl::StrCat(std::get<0>(done).status, " ", std::get<0>(done).body);
}

struct response_fault_case {
  std::string name;
  std::string reply;
  error_kind expected;
};

}  // namespace

// Guards against calls that wait in the client for a connection while they count as running.
TEST_CASE("a target with hundreds of slots gets all calls that were started") {
  constexpr int call_count = 430;
  const auto client = Builder().Build();
  absl::Mutex mutex;
  int arrived = 0;
  raw_server server([&](raw_socket& connection) {
    connection.ReadUntil("body");
    const auto all_arrived = [&] { return arrived == call_count; };
    absl::MutexLock lock(&mutex);
    ++arrived;
    if (mutex.AwaitWithTimeout(absl::Condition(&all_arrived), kLongTimeout)) {
      connection.Write(Response("Content-Length: 0\r\n", ""));
    }
  });
  std::vector<std::future<http_outcome>> calls;
  for (int i = 0; i < call_count; ++i) {
    calls.push_back(SendAsync(*client, server.address(), false, kLongTimeout));
  }
  int answered = 0;
  for (auto& call : calls) answered += call.get().index() == 0 ? 1 : 0;
  CHECK(answered == call_count);
}

// Guards against a request that reaches its server although its sender no longer wants it sent, for
// example since it waited long for a connection.
TEST_CASE("a request that is refused before it is sent does not reach the server") {
  std::atomic<int> received = 0;
  raw_server server([&](raw_socket& connection) {
    while (!connection.ReadUntil("body").empty()) {
      ++received;
      connection.Write(Response("Content-Length: 0\r\n", ""));
    }
  });
  const auto client = Builder().MaxConnectionsPerHost(1).Build();
  std::atomic<bool> refuses = false;
  const auto send = [&] {
    std::promise<http_outcome> promise;
    http_request request{"POST", "/", {}, "body"};
    request.before_send = [&]() -> absl::optional<error> {
      if (!refuses) return absl::nullopt;
      return error{error_kind::kDraining, ""};
    };
    client->Send(server.address(), std::move(request), false, kLongTimeout,
                 [&](http_outcome done) { promise.set_value(std::move(done)); });
    return promise.get_future().get();
  };
  // On a new connection, on a kept one, and after both.
  refuses = true;
  CHECK(KindOf(send()) == error_kind::kDraining);
  refuses = false;
  CHECK(send().index() == 0);
  refuses = true;
  CHECK(KindOf(send()) == error_kind::kDraining);
  refuses = false;
  CHECK(send().index() == 0);
  CHECK(received == 2);
}

// Guards against incomplete responses that are accepted, and against an error kind that says "not
// run" although the request was sent.
TEST_CASE("faulty responses map to their error kinds") {
  std::string many_headers;
  for (int i = 0; i < 2000; ++i) many_headers += "A:\r\n";
  const std::vector<response_fault_case> cases = {
      {"closed without a response", "", error_kind::kTargetFailed},
      {"closed within the headers", "HTTP/1.1 200 OK\r\nConte", error_kind::kTargetFailed},
      {"closed within the body", Response("Content-Length: 10\r\n", "12345"),
       error_kind::kTargetFailed},
      {"closed within a chunk", Response("Transfer-Encoding: chunked\r\n", "a\r\n12345"),
       error_kind::kTargetFailed},
      {"closed before the last chunk", Response("Transfer-Encoding: chunked\r\n", "2\r\n12\r\n"),
       error_kind::kTargetFailed},
      {"no length", Response("", "12345"), error_kind::kTargetFailed},
      {"not HTTP", "SSH-2.0-x\r\n\r\n", error_kind::kTargetFailed},
      {"length is not a number", Response("Content-Length: x\r\n", "1"), error_kind::kTargetFailed},
      {"length over the limit", Response("Content-Length: 2000\r\n", ""),
       error_kind::kAnswerTooLarge},
      {"chunks over the limit",
       Response("Transfer-Encoding: chunked\r\n",
                absl::StrCat("7d0\r\n", std::string(2000, 'x'), "\r\n0\r\n\r\n")),
       error_kind::kAnswerTooLarge},
      {"many short headers over the limit", Response(many_headers, ""),
       error_kind::kAnswerTooLarge},
      {"headers over the limit", Response("A: " + std::string(80000, 'x') + "\r\n", ""),
       error_kind::kAnswerTooLarge},
  };
  const auto client = Builder().MaxResponseBytes(1000).Build();
  for (const response_fault_case& fault : cases) {
    for (const bool at_most_once : {false, true}) {
      INFO(fault.name << ", at most once " << at_most_once);
      raw_server server([&](raw_socket& connection) {
        connection.ReadUntil("body");
        connection.Write(fault.reply);
      });
      CHECK(KindOf(SendAsync(*client, server.address(), at_most_once, kLongTimeout).get()) ==
            fault.expected);
      CHECK(server.connections() == 1);
    }
  }
}

// Guards against lost headers, a changed request line, and headers that libcurl adds itself.
TEST_CASE("requests and responses are transferred unchanged") {
  std::promise<std::string> received;
  raw_server server([&](raw_socket& connection) {
    received.set_value(connection.ReadUntil("body"));
    connection.Write("HTTP/1.1 100 Continue\r\nX-Interim: 1\r\n\r\n");
    connection.Write("HTTP/1.1 201 Created\r\nX-Reply: 2\r\nContent-Length: 3\r\n\r\nabc");
  });
  const auto client = Builder().Build();
  const http_outcome done = SendAsync(*client, server.address(), false, kLongTimeout).get();
  REQUIRE(done.index() == 0);
  CHECK(std::get<0>(done).status == 201);
  CHECK(std::get<0>(done).body == "abc");
  REQUIRE(std::get<0>(done).headers.size() == 1);
  CHECK(std::get<0>(done).headers[0].name == "X-Reply");
  CHECK(received.get_future().get() ==
        absl::StrCat("POST /orders?a=b HTTP/1.1\r\nHost: ", server.address(),
                     "\r\nX-Test: 1\r\nContent-Length: 4\r\n\r\nbody"));
}

// Guards against a request that is executed twice: libcurl automatically resends a request if a
// reused connection is closed before the first byte of the response.
TEST_CASE("a request is sent only once if the server closes the connection after reading it") {
  const bool at_most_once = GENERATE(false, true);
  std::atomic<int> requests = 0;
  std::atomic<bool> answer = true;
  raw_server server([&](raw_socket& connection) {
    while (absl::StrContains(connection.ReadUntil("body"), "POST")) {
      ++requests;
      if (!answer) return;
      connection.Write(Response("Content-Length: 0\r\n", ""));
    }
  });
  const auto client = Builder().Threads(1).Build();
  REQUIRE(SendAsync(*client, server.address(), false, kLongTimeout).get().index() == 0);
  answer = false;
  CHECK(KindOf(SendAsync(*client, server.address(), at_most_once, kLongTimeout).get()) ==
        error_kind::kTargetFailed);
  CHECK(requests == 2);
}

// Guards against "not run" for a request that was sent, and against a completion that never runs.
TEST_CASE("unreachable servers, time-outs and cancellation have their own error kinds") {
  const auto client = Builder().Build();
  CHECK(KindOf(SendAsync(*client, UnusedAddress(), true, kLongTimeout).get()) ==
        error_kind::kTargetUnreachable);
  absl::Notification end;
  raw_server server([&](raw_socket& connection) {
    connection.ReadUntil("body");
    end.WaitForNotification();
  });
  CHECK(KindOf(SendAsync(*client, server.address(), true, absl::Milliseconds(100)).get()) ==
        error_kind::kDeadlineExceeded);
  uint64_t id = 0;
  auto cancelled = SendAsync(*client, server.address(), true, kLongTimeout, &id);
  client->Cancel(id);
  CHECK(KindOf(cancelled.get()) == error_kind::kCancelled);
  end.Notify();
}

// Guards against a short deadline that is kept only when the timer of an earlier call expires.
TEST_CASE("a short deadline ends before a long one that began earlier") {
  raw_server server([](raw_socket& connection) { connection.ReadAll(); });
  const auto client = Builder().Threads(1).Build();
  const auto first = SendAsync(*client, server.address(), true, kLongTimeout);
  for (int i = 0; i < 10; ++i) {
    const http_outcome done =
        SendAsync(*client, server.address(), true, absl::Milliseconds(200)).get();
    CHECK(KindOf(done) == error_kind::kDeadlineExceeded);
  }
  CHECK(first.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
}

// Guards against completions that are lost when the client is destroyed.
TEST_CASE("running requests are cancelled when the client is destroyed") {
  raw_server server([](raw_socket& connection) { connection.ReadAll(); });
  auto client = Builder().Build();
  std::vector<std::future<http_outcome>> running;
  for (int i = 0; i < 20; ++i)
    running.push_back(SendAsync(*client, server.address(), true, kLongTimeout));
  client.reset();
  for (auto& future : running) CHECK(KindOf(future.get()) == error_kind::kCancelled);
}

// Guards against injection into the headers or the request line through values with line breaks.
TEST_CASE("malformed requests are not sent") {
  const auto client = Builder().Build();
  for (const http_request& request :
       std::vector<http_request>{{"GET", "/a b", {}, ""},
                                 {"GET", "/a\r\nX: 1", {}, ""},
                                 {"GET", "", {}, ""},
                                 {"G ET", "/", {}, ""},
                                 {"GET", "/", {{"X", "1\r\nY: 2"}}, ""},
                                 {"GET", "/", {{"X:", "1"}}, ""}}) {
    std::promise<http_outcome> promise;
    client->Send(UnusedAddress(), request, false, kLongTimeout,
                 [&](http_outcome done) { promise.set_value(done); });
    CHECK(KindOf(promise.get_future().get()) == error_kind::kMalformedRequest);
  }
}

// Guards against a late response that is read as the answer to the next request, because the
// connection of a response without an id was kept.
TEST_CASE("a response that does not name its request ends its connection") {
  std::atomic<bool> named = false;
  raw_server server([&](raw_socket& connection) {
    while (true) {
      const std::string request = connection.ReadUntil("body");
      if (request.empty()) return;
      const std::string id = IdOf(request);
      connection.Write(named ? NamedResponse(id) : Response("Content-Length: 0\r\n", ""));
    }
  });
  const auto client = Builder().Threads(1).Build();
  CHECK(Summary(SendNamed(*client, server.address(), "1")) == "target-failed");
  named = true;
  CHECK(Summary(SendNamed(*client, server.address(), "2")) == "200 2");
  CHECK(server.connections() == 2);
  CHECK(Summary(SendNamed(*client, server.address(), "3")) == "200 3");
  CHECK(server.connections() == 2);
}

// Guards against a stale response on a kept connection that is taken as the answer to the next
// request, which has run or is running.
TEST_CASE("an earlier refusal that is sent once more is not the answer to the next request") {
  const bool named = GENERATE(true, false);
  raw_server server([named](raw_socket& connection) {
    std::string first_response;
    while (true) {
      const std::string request = connection.ReadUntil("body");
      if (request.empty()) return;
      const std::string id = IdOf(request);
      connection.Write(first_response);
      const std::string response =
          absl::StrCat("HTTP/1.1 503 Status\r\n", named ? absl::StrCat("X-Id: ", id, "\r\n") : "",
                       "Content-Length: ", id.size(), "\r\n\r\n", id);
      if (first_response.empty()) first_response = response;
      connection.Write(response);
    }
  });
  const auto client = Builder().Threads(1).Build();
  const expected_answer expected = {.echo_optional = true};
  CHECK(Summary(SendNamed(*client, server.address(), "1", expected)) == "503 1");
  CHECK(Summary(SendNamed(*client, server.address(), "2", expected)) ==
        (named ? "target-failed" : "503 2"));
  CHECK(Summary(SendNamed(*client, server.address(), "3", expected)) == "503 3");
  CHECK(server.connections() == (named ? 2 : 3));
}

// Guards against taking a response without an id on a kept connection as the answer, and against
// failing targets that never repeat the id.
TEST_CASE("a response without an id is accepted only on a new connection, which is not kept") {
  std::atomic<bool> named = true;
  raw_server server([&](raw_socket& connection) {
    while (true) {
      const std::string request = connection.ReadUntil("body");
      if (request.empty()) return;
      connection.Write(named ? NamedResponse(IdOf(request))
                             : Response("Content-Length: 4\r\n", "none"));
    }
  });
  const auto client = Builder().Threads(1).Build();
  const expected_answer expected = {.echo_optional = true};
  CHECK(Summary(SendNamed(*client, server.address(), "1", expected)) == "200 1");
  named = false;
  CHECK(Summary(SendNamed(*client, server.address(), "2", expected)) == "target-failed");
  CHECK(server.connections() == 1);
  CHECK(Summary(SendNamed(*client, server.address(), "3", expected)) == "200 none");
  CHECK(server.connections() == 2);
  named = true;
  CHECK(Summary(SendNamed(*client, server.address(), "4", expected)) == "200 4");
  CHECK(Summary(SendNamed(*client, server.address(), "5", expected)) == "200 5");
  CHECK(server.connections() == 3);
}

// Guards against a stale response on the connection of a request whose response names no request,
// such as a health probe.
TEST_CASE("a request with a connection of its own shares it with no other request") {
  raw_server server([](raw_socket& connection) {
    while (true) {
      const std::string request = connection.ReadUntil("body");
      if (request.empty()) return;
      connection.Write(NamedResponse(IdOf(request)));
    }
  });
  const auto client = Builder().Threads(1).Build();
  const auto send_alone = [&] {
    std::promise<http_outcome> promise;
    http_request probe{"GET", "/health", {{"X-Id", "probe"}, {"X-End", "body"}}, ""};
    probe.own_connection = true;
    client->Send(server.address(), std::move(probe), false, kLongTimeout,
                 [&](http_outcome done) { promise.set_value(std::move(done)); });
    return promise.get_future().get();
  };
  CHECK(Summary(send_alone()) == "200 probe");
  CHECK(Summary(SendNamed(*client, server.address(), "1")) == "200 1");
  CHECK(server.connections() == 2);
  CHECK(Summary(send_alone()) == "200 probe");
  CHECK(server.connections() == 3);
  CHECK(Summary(SendNamed(*client, server.address(), "2")) == "200 2");
  CHECK(server.connections() == 3);
}

// Guards against bytes after a complete response that are read as part of the next response, which
// fails a request that has run, or are read as its answer.
TEST_CASE("bytes after a complete response end the connection") {
  struct response_case {
    std::string name;
    std::string method;
    std::string head;
    std::string body;
  };
  struct excess_case {
    std::string with_response;
    std::string later;
  };
  const std::vector<response_case> responses = {
      {"body with a length", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n", "x"},
      {"chunked body", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
       "1\r\nx\r\n0\r\n\r\n"},
      {"body without bytes", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", ""},
      {"status without a body", "POST", "HTTP/1.1 204 None\r\n", ""},
      {"response to HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n", ""},
  };
  const std::vector<excess_case> excesses = {
      {NamedResponse("1", 503), ""},
      {"", NamedResponse("1", 503)},
      {"garbage", ""},
      {"", "garbage"},
      {NamedResponse("2", 503), ""},
      {"", NamedResponse("2", 503)},
      {"HTTP/1.1 503 Sta", "tus\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"},
  };
  const auto client = Builder().Threads(1).Build();
  for (const response_case& response : responses) {
    for (const excess_case& excess : excesses) {
      INFO(response.name << ", with it: " << excess.with_response << ", later: " << excess.later);
      absl::Notification received;
      absl::Notification sent;
      raw_server server([&](raw_socket& connection) {
        const std::string request = connection.ReadUntil("body");
        if (IdOf(request) != "1") {
          connection.Write(NamedResponse("2"));
          return;
        }
        connection.Write(
            absl::StrCat(response.head, "X-Id: 1\r\n\r\n", response.body, excess.with_response));
        received.WaitForNotification();
        connection.Write(excess.later);
        sent.Notify();
        if (absl::StrContains(connection.ReadUntil("body"), "X-Id: 2")) {
          connection.Write(NamedResponse("2"));
        }
      });
      CHECK(SendNamed(*client, server.address(), "1", {}, response.method).index() == 0);
      received.Notify();
      sent.WaitForNotification();
      CHECK(Summary(SendNamed(*client, server.address(), "2")) == "200 2");
    }
  }
}

}  // namespace teaseljunction
