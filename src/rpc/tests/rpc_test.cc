#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <cerrno>
#include <cstring>
#include <functional>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "common/sockets.h"
#include "event_loop/event_loop.h"
#include "rpc/rpc_peer_client.h"
#include "rpc/rpc_server.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kLongTimeout = absl::Seconds(10);
// Memory for incomplete messages, in which `kFittingMessages` of `kMessageBytes` fit.
constexpr size_t kMemory = size_t{1} << 20;
constexpr size_t kFittingMessages = 4;
constexpr size_t kMessageBytes = kMemory / kFittingMessages;

using execute_completion = absl::AnyInvocable<void(execute_result)>;

class cancel_counting_execution : public call_execution {
 public:
  explicit cancel_counting_execution(std::atomic<int>& cancelled) : cancelled_(cancelled) {}
  void Cancel() override { ++cancelled_; }

 private:
  std::atomic<int>& cancelled_;
};

/// Answers a call with its own body from another thread. A call with the path "/keep" is held: its
/// completion is stored for the test. A call with the path "/throw" throws. The release of a claim
/// is answered after a short time.
class fake_service : public node_service {
 public:
  std::shared_ptr<call_execution> Execute(call request, execute_completion completion) override {
    if (request.path == "/throw") throw std::runtime_error("no memory");
    if (request.path == "/keep") {
      absl::MutexLock lock(&mutex);
      held_completions.push_back(std::move(completion));
    } else {
      std::thread([body = std::move(request.body), completion = std::move(completion)]() mutable {
        execute_result result;
        result.answer = call_answer{200, {}, std::move(body)};
        completion(std::move(result));
      }).detach();
    }
    return std::make_shared<cancel_counting_execution>(cancelled);
  }
  void Sync(sync_request request, absl::AnyInvocable<void(sync_response)> completion) override {
    sync_response response;
    response.leader_address = request.daemon.daemon_id;
    completion(std::move(response));
  }
  void Propose(command proposal, absl::AnyInvocable<void(propose_response)> completion) override {
    propose_response response;
    response.result.applied = std::holds_alternative<claim>(proposal);
    if (!std::holds_alternative<release_claim>(proposal)) return completion(std::move(response));
    std::thread([response = std::move(response), completion = std::move(completion)]() mutable {
      absl::SleepFor(absl::Milliseconds(2));
      completion(std::move(response));
    }).detach();
  }
  void HandleRaftMessage(std::string message) override {
    absl::MutexLock lock(&mutex);
    messages.push_back(std::move(message));
  }
  manifest_record Manifest() override { return {3, "d", "{}"}; }
  absl::optional<manifest_record> AcceptedManifest() override { return absl::nullopt; }
  void RequestSync() override { ++refreshes; }
  status_report Status() override {
    status_report report;
    report.term = 8;
    return report;
  }

  void WaitForHeldCalls(size_t count) {
    absl::MutexLock lock(&mutex);
    const auto reached = [this, count] { return held_completions.size() >= count; };
    mutex.Await(absl::Condition(&reached));
  }

  absl::Mutex mutex;
  std::vector<execute_completion> held_completions;
  std::vector<std::string> messages;
  std::atomic<int> cancelled = 0;
  std::atomic<int> refreshes = 0;
};

/// A started server, on its own threads and on an event loop in turn.
struct running_server {
  explicit running_server(const std::string& listen = "127.0.0.1:0",
                          size_t max_receiving_bytes = size_t{64} << 20, unsigned threads = 2) {
    const bool on_loop = GENERATE(false, true);
    if (on_loop) loop = std::make_unique<event_loop>(clock);
    server = rpc_server_builder()
                 .Address(listen)
                 .Threads(threads)
                 .Loop(loop.get())
                 .MaxMessageBytes(4 << 20)
                 .MaxReceivingBytes(max_receiving_bytes)
                 .Service(&service)
                 .Build();
    const auto started = Capture<uint16_t>([&] { return server->Start(); });
    REQUIRE(started.index() == 0);
    address = absl::StrCat("127.0.0.1:", std::get<0>(started));
  }

  const system_clock_source clock;
  std::unique_ptr<event_loop> loop;
  fake_service service;
  std::unique_ptr<rpc_server> server;
  std::string address;
};

std::future<execute_result> ExecuteAsync(peer_client& client, const std::string& address,
                                         const std::string& path,
                                         absl::Duration timeout = kLongTimeout,
                                         uint64_t* id = nullptr, std::string body = "body") {
  auto promise = std::make_shared<std::promise<execute_result>>();
  call request;
  request.path = path;
  request.body = std::move(body);
  request.time_left = timeout;
  const uint64_t started =
      client.Execute(address, std::move(request), timeout,
                     [promise](execute_result result) { promise->set_value(std::move(result)); });
  if (id != nullptr) *id = started;
  return promise->get_future();
}

error_kind KindOf(const execute_result& result) {
  REQUIRE(result.answer.index() == 1);
  return std::get<1>(result.answer).kind;
}

std::string BodyOf(const execute_result& result) {
  REQUIRE(result.answer.index() == 0);
  return std::get<0>(result.answer).body;
}

/// Runs a call and waits for its result.
execute_result Execute(peer_client& client, const std::string& address, const std::string& path,
                       absl::Duration timeout = kLongTimeout, std::string body = "body") {
  return ExecuteAsync(client, address, path, timeout, nullptr, std::move(body)).get();
}

/// Returns a client, on its own threads and on an event loop in turn.
std::unique_ptr<rpc_peer_client> MakeClient(absl::Duration idle_timeout = absl::Minutes(1)) {
  static const system_clock_source clock;
  static event_loop loop(clock);
  const bool on_loop = GENERATE(false, true);
  return rpc_peer_client_builder()
      .ConnectTimeout(absl::Milliseconds(500))
      .IdleTimeout(idle_timeout)
      .Loop(on_loop ? &loop : nullptr)
      .Build();
}

/// Listening socket that passes each accepted connection to `script` and then closes it.
class scripted_peer {
 public:
  explicit scripted_peer(std::function<void(int)> script) {
    const auto opened = Capture<int>([]() -> result<int> {
      BOOST_LEAF_AUTO(any, ParseSocketAddress("127.0.0.1:0"));
      return OpenListenSocket(any, false);
    });
    fd_ = std::get<0>(opened);
    thread_ = std::thread([this, script = std::move(script)] {
      while (!stopping_) {
        const int accepted = accept(fd_, nullptr, nullptr);
        if (accepted < 0) {
          absl::SleepFor(absl::Milliseconds(1));
          continue;
        }
        script(accepted);
        close(accepted);
      }
    });
  }
  ~scripted_peer() {
    stopping_ = true;
    thread_.join();
    close(fd_);
  }
  std::string address() const { return absl::StrCat("127.0.0.1:", BoundPort(fd_)); }

 private:
  int fd_ = -1;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

int ConnectTo(const std::string& address) {
  const auto target = Capture<socket_address>([&] { return ParseSocketAddress(address); });
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(connect(fd, std::get<0>(target).get(), std::get<0>(target).length) == 0);
  return fd;
}

void SendBytes(const std::string& address, const std::string& data) {
  const int fd = ConnectTo(address);
  send(fd, data.data(), data.size(), MSG_NOSIGNAL);
  std::array<char, 256> answer;
  // Reads until the server closes the connection.
  while (recv(fd, answer.data(), answer.size(), 0) > 0) {
  }
  close(fd);
}

}  // namespace

// Guards against a response that is delivered to another call, and against lost or truncated
// bodies.
TEST_CASE("every method returns its own response") {
  running_server running;
  const auto client = MakeClient();
  std::vector<std::future<execute_result>> calls;
  for (int i = 0; i < 200; ++i) {
    calls.push_back(
        ExecuteAsync(*client, running.address, "/", kLongTimeout, nullptr, std::to_string(i)));
  }
  for (int i = 0; i < 200; ++i) CHECK(BodyOf(calls[i].get()) == std::to_string(i));
  const std::string big(1 << 20, 'x');
  CHECK(BodyOf(Execute(*client, running.address, "/", kLongTimeout, big)) == big);

  std::promise<outcome<sync_response>> synced;
  sync_request request;
  request.daemon.daemon_id = "d7";
  client->Sync(running.address, request, kLongTimeout,
               [&](auto result) { synced.set_value(result); });
  CHECK(std::get<0>(synced.get_future().get()).leader_address == "d7");
  std::promise<outcome<propose_response>> proposed;
  client->Propose(running.address, claim{}, kLongTimeout,
                  [&](auto result) { proposed.set_value(result); });
  CHECK(std::get<0>(proposed.get_future().get()).result.applied);
  std::promise<outcome<status_report>> status;
  client->Status(running.address, kLongTimeout, [&](auto result) { status.set_value(result); });
  CHECK(std::get<0>(status.get_future().get()).term == 8);
  std::promise<outcome<manifest_record>> manifest;
  client->Manifest(running.address, kLongTimeout, [&](auto result) { manifest.set_value(result); });
  CHECK(std::get<0>(manifest.get_future().get()).version == 3);
}

// Guards against reordered Raft messages between control members.
TEST_CASE("Raft messages arrive in order") {
  running_server running;
  const auto client = MakeClient();
  for (int i = 0; i < 100; ++i) client->SendRaftMessage(running.address, std::to_string(i));
  absl::MutexLock lock(&running.service.mutex);
  const auto complete = [&] { return running.service.messages.size() == 100; };
  running.service.mutex.Await(absl::Condition(&complete));
  for (int i = 0; i < 100; ++i) CHECK(running.service.messages[i] == std::to_string(i));
}

// Guards against reporting a sent call as "not run", and against a caller that waits forever.
TEST_CASE("peer faults are reported with the right error kind") {
  struct fault_case {
    std::string name;
    std::function<void(int)> script;
    error_kind expected;
  };
  const auto receive = [](int fd) {
    std::array<char, 64> data;
    return recv(fd, data.data(), data.size(), 0);
  };
  const std::vector<fault_case> cases = {
      {"closes after reading", [&](int fd) { receive(fd); }, error_kind::kPeerLost},
      {"closes at once", [](int) {}, error_kind::kPeerLost},
      {"sends garbage",
       [&](int fd) {
         send(fd, std::string(64, 'x').data(), 64, MSG_NOSIGNAL);
         while (receive(fd) > 0) {
         }
       },
       error_kind::kPeerLost},
      {"closes in the middle of a message",
       [&](int fd) {
         receive(fd);
         send(fd, "\0\0\0\0\x10\0\0\0abc", 11, MSG_NOSIGNAL);
       },
       error_kind::kPeerLost},
      {"announces a message over the limit",
       [&](int fd) {
         send(fd, "\0\0\0\0\0\0\0\x70", 8, MSG_NOSIGNAL);
         while (receive(fd) > 0) {
         }
       },
       error_kind::kPeerLost},
      {"never answers",
       [&](int fd) {
         while (receive(fd) > 0) {
         }
       },
       error_kind::kDeadlineExceeded},
  };
  for (const fault_case& fault : cases) {
    INFO(fault.name);
    scripted_peer server(fault.script);
    const auto client = MakeClient();
    CHECK(KindOf(Execute(*client, server.address(), "/", absl::Milliseconds(300))) ==
          fault.expected);
  }
}

// Guards against reporting "may have run" when nothing listens at the address, against a client
// that does not reconnect, and against calls that never complete when the peer is stopped.
TEST_CASE("calls to an unreachable, a stopped and a restarted peer") {
  const auto client = MakeClient();
  std::string address;
  {
    running_server running;
    address = running.address;
    auto lost = ExecuteAsync(*client, address, "/keep");
    running.service.WaitForHeldCalls(1);
    running.server->Stop();
    CHECK(KindOf(lost.get()) == error_kind::kPeerLost);
    CHECK(running.service.cancelled == 1);
    // A completion that runs after the stop is ignored.
    running.service.held_completions[0]({});
  }
  CHECK(KindOf(Execute(*client, address, "/")) == error_kind::kPeerUnreachable);
  CHECK(KindOf(Execute(*client, "nowhere", "/")) == error_kind::kPeerUnreachable);
  running_server restarted(address);
  for (int i = 0; i < 1000; ++i) {
    const execute_result result = Execute(*client, address, "/");
    if (result.answer.index() == 0) return;
    absl::SleepFor(absl::Milliseconds(5));
  }
  FAIL("no connection to the restarted peer");
}

// Guards against a call that is not retried elsewhere because the attempts that it gave to an
// unreachable daemon were lost.
TEST_CASE("a call that was not sent returns its attempts") {
  const auto client = MakeClient();
  for (const char* address : {"nowhere", "127.0.0.1:1"}) {
    INFO(address);
    std::promise<execute_result> ended;
    call request;
    request.time_left = kLongTimeout;
    request.attempt_budget = 7;
    client->Execute(address, std::move(request), kLongTimeout,
                    [&](execute_result result) { ended.set_value(std::move(result)); });
    const execute_result result = ended.get_future().get();
    CHECK(KindOf(result) == error_kind::kPeerUnreachable);
    CHECK(result.unused_attempts == 7);
  }
}

// Guards against work that continues for a caller that has disconnected or cancelled.
TEST_CASE("cancelled, expired and abandoned calls are cancelled at the server") {
  running_server running;
  auto client = MakeClient();
  uint64_t id = 0;
  auto cancelled = ExecuteAsync(*client, running.address, "/keep", kLongTimeout, &id);
  running.service.WaitForHeldCalls(1);
  client->CancelExecute(id);
  CHECK(KindOf(cancelled.get()) == error_kind::kCancelled);
  CHECK(KindOf(Execute(*client, running.address, "/keep", absl::Milliseconds(50))) ==
        error_kind::kDeadlineExceeded);
  auto abandoned = ExecuteAsync(*client, running.address, "/keep");
  running.service.WaitForHeldCalls(3);
  client.reset();
  CHECK(KindOf(abandoned.get()) == error_kind::kPeerLost);
  for (int i = 0; i < 5000 && running.service.cancelled < 3; ++i) {
    absl::SleepFor(absl::Milliseconds(2));
  }
  CHECK(running.service.cancelled == 3);
  for (auto& completion : running.service.held_completions) completion({});
}

// Guards against a daemon that crashes or stops serving after it has received invalid data.
TEST_CASE("invalid data closes only its own connection") {
  running_server running;
  const auto client = MakeClient();
  CHECK(BodyOf(Execute(*client, running.address, "/")) == "body");
  for (const std::string& garbage :
       {std::string(4096, '\xff'), std::string("GET / HTTP/1.1\r\n\r\n"),
        std::string("\0\0\0\0\0\0\0\x70", 8),
        std::string("\0\0\0\0\1\0\0\0\xff\xff\xff\xff\xff\xff\xff\xff", 16)}) {
    SendBytes(running.address, garbage);
  }
  CHECK(BodyOf(Execute(*client, running.address, "/")) == "body");
}

// Guards against large messages that never end on many connections and together take the memory of
// the process (issue 33, the operators' report).
TEST_CASE("the memory for incomplete messages is limited") {
  running_server running("127.0.0.1:0", kMemory, 1);
  // The head of a message with a single segment, and a part of the segment.
  std::string start(8, '\0');
  const uint32_t words = kMessageBytes / 8;
  std::memcpy(start.data() + 4, &words, sizeof(words));
  start.append(kMessageBytes / 2, '\0');
  std::vector<int> connections;
  const auto connect_and_send = [&] {
    const int fd = ConnectTo(running.address);
    REQUIRE(send(fd, start.data(), start.size(), MSG_NOSIGNAL) > 0);
    connections.push_back(fd);
  };
  const auto is_open = [](int fd) {
    std::array<char, 1> byte;
    return recv(fd, byte.data(), byte.size(), MSG_DONTWAIT | MSG_PEEK) < 0 && errno == EAGAIN;
  };
  const auto count_open = [&] {
    return static_cast<size_t>(std::count_if(connections.begin(), connections.end(), is_open));
  };
  for (size_t i = 0; i < 3 * kFittingMessages; ++i) connect_and_send();
  const absl::Time limit = absl::Now() + kLongTimeout;
  while (count_open() > kFittingMessages && absl::Now() < limit) {
    absl::SleepFor(absl::Milliseconds(5));
  }
  CHECK(count_open() == kFittingMessages);
  const auto client = MakeClient();
  CHECK(BodyOf(Execute(*client, running.address, "/")) == "body");
  // The memory of messages that are given up is free again.
  for (const int fd : connections) close(fd);
  const std::string body(kMessageBytes, 'b');
  bool answered = false;
  while (!answered && absl::Now() < limit) {
    answered = Execute(*client, running.address, "/", kLongTimeout, body).answer.index() == 0;
  }
  CHECK(answered);
}

// Guards against a drain that aborts a running call.
TEST_CASE("drain waits for running calls") {
  running_server running;
  const auto client = MakeClient();
  auto call = ExecuteAsync(*client, running.address, "/keep");
  running.service.WaitForHeldCalls(1);
  bool drained = false;
  std::thread drain([&] { drained = running.server->Drain(kLongTimeout); });
  absl::SleepFor(absl::Milliseconds(150));
  execute_result result;
  result.answer = call_answer{200, {}, "whole"};
  running.service.held_completions[0](std::move(result));
  CHECK(BodyOf(call.get()) == "whole");
  drain.join();
  CHECK(drained);
  CHECK(running.service.cancelled == 0);
}

// Guards against a stop of a leader that is reported as out of time because proposals keep
// arriving.
TEST_CASE("drain succeeds although proposals keep arriving") {
  running_server running;
  const auto client = MakeClient();
  std::atomic<bool> ended = false;
  std::vector<std::thread> proposers;
  for (int i = 0; i < 3; ++i) {
    proposers.emplace_back([&] {
      while (!ended) {
        absl::Notification done;
        client->Propose(running.address, release_claim{}, kLongTimeout,
                        [&](const outcome<propose_response>&) { done.Notify(); });
        done.WaitForNotification();
      }
    });
  }
  CHECK(running.server->Drain(kLongTimeout));
  ended = true;
  for (std::thread& proposer : proposers) proposer.join();
}

// Guards against a drain that cuts an answer which is still being sent, for example on a slow link.
TEST_CASE("drain waits until answers have been sent") {
  // More than the socket buffers hold.
  const size_t call_count = 8;
  const size_t answer_bytes = size_t{3} << 20;
  running_server running;
  event_loop loop(running.clock);
  const auto client = rpc_peer_client_builder().Loop(&loop).Build();
  std::vector<std::future<execute_result>> calls;
  for (size_t i = 0; i < call_count; ++i) {
    calls.push_back(ExecuteAsync(*client, running.address, "/keep"));
  }
  running.service.WaitForHeldCalls(call_count);
  // While its loop is blocked, the client reads nothing.
  absl::Notification readable;
  loop.Post([&] { readable.WaitForNotification(); });
  for (execute_completion& completion : running.service.held_completions) {
    execute_result result;
    result.answer = call_answer{200, {}, std::string(answer_bytes, 'x')};
    completion(std::move(result));
  }
  bool drained = false;
  std::thread drain([&] { drained = running.server->Drain(kLongTimeout); });
  absl::SleepFor(absl::Milliseconds(600));
  readable.Notify();
  size_t whole_answers = 0;
  for (std::future<execute_result>& call : calls) {
    const execute_result ended = call.get();
    const auto* answer = std::get_if<call_answer>(&ended.answer);
    if (answer != nullptr && answer->body.size() == answer_bytes) ++whole_answers;
  }
  drain.join();
  CHECK(whole_answers == call_count);
  CHECK(drained);
}

// Guards against a drain that waits until its timeout for a call that was never started.
TEST_CASE("drain does not wait for a call whose start failed") {
  running_server running;
  const auto client = MakeClient();
  CHECK(KindOf(Execute(*client, running.address, "/throw")) == error_kind::kPeerLost);
  CHECK(running.server->Drain(kLongTimeout));
}

// Guards against connections to former addresses that stay open forever.
TEST_CASE("an idle connection is closed") {
  absl::Notification closed;
  scripted_peer server([&](int fd) {
    std::array<char, 64> data;
    while (recv(fd, data.data(), data.size(), 0) > 0) {
    }
    closed.Notify();
  });
  const auto client = MakeClient(absl::Milliseconds(100));
  CHECK(KindOf(Execute(*client, server.address(), "/", absl::Milliseconds(50))) ==
        error_kind::kDeadlineExceeded);
  CHECK(closed.WaitForNotificationWithTimeout(kLongTimeout));
}

// Guards against two daemons that share a port unnoticed.
TEST_CASE("starting on a port in use fails") {
  running_server running;
  fake_service service;
  const auto second = rpc_server_builder().Address(running.address).Service(&service).Build();
  const auto started = Capture<uint16_t>([&] { return second->Start(); });
  REQUIRE(started.index() == 1);
  CHECK(std::get<1>(started).kind == error_kind::kSettingInvalid);
}

}  // namespace teaseljunction
