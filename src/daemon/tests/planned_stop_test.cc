#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "daemon/daemon.h"
#include "daemon/tests/wait_until.h"
#include "http/http_server.h"
#include "http/tests/raw_socket.h"
#include "manifest/manifest_codec.h"
#include "rpc/rpc_peer_client.h"

namespace teaseljunction {
namespace {

constexpr int kMaxBuildAttempts = 10;
constexpr absl::Duration kRequestInterval = absl::Milliseconds(50);
// Keeps the number of held requests below the concurrency limit of a new target.
constexpr absl::Duration kHeldRequestInterval = absl::Milliseconds(400);
constexpr absl::string_view kManifest = R"({"version": 1,
  "services": [{"name": "near"}, {"name": "far"}],
  "routes": [{"name": "near", "method": "GET", "path": "/near/*", "service": "near",
              "idempotent": true, "open": true, "timeoutMs": 60000},
             {"name": "far", "method": "GET", "path": "/far/*", "service": "far",
              "idempotent": true, "open": true, "timeoutMs": 60000},
             {"name": "order", "method": "POST", "path": "/order/*", "service": "far",
              "idempotent": false, "open": true, "timeoutMs": 60000}]})";
constexpr absl::string_view kOrder =
    "POST /order/held HTTP/1.1\r\nHost: test\r\nIdempotency-Key: one\r\nContent-Length: 0\r\n\r\n";

template <class Future>
bool IsReady(const Future& future) {
  return future.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

// What a caller received; status 0 if the connection was refused or closed without an answer.
struct caller_answer {
  int status = 0;
  std::string text;

  bool ClosesConnection() const {
    return absl::StrContains(absl::AsciiStrToLower(text), "connection: close");
  }
  bool IsDrainingRefusal() const {
    return status == 503 && absl::StrContains(text, "error:draining\"") &&
           absl::StrContains(text, "Teaseljunction-Outcome: not-run");
  }
};

// All bodies of these tests are JSON objects without nested ones.
caller_answer Exchange(const raw_socket& connection, absl::string_view path,
                       absl::string_view headers = "") {
  connection.Write(absl::StrCat("GET ", path, " HTTP/1.1\r\nHost: test\r\n", headers, "\r\n"));
  caller_answer answer;
  answer.text = connection.ReadUntil("}");
  if (answer.text.size() < 12 || !absl::SimpleAtoi(answer.text.substr(9, 3), &answer.status)) {
    answer.status = 0;
  }
  return answer;
}

// Answers each request at once, except those whose path contains "held": they wait for `Release`.
class holding_target : public http_handler {
 public:
  void Handle(http_request request, std::shared_ptr<http_exchange> exchange) override {
    const bool held = absl::StrContains(request.path, "held");
    const std::string path = request.path;
    {
      absl::MutexLock lock(&mutex_);
      received_.push_back(std::move(request));
      if (held && !released_) {
        held_.emplace_back(path, std::move(exchange));
        return;
      }
    }
    Answer(path, *exchange);
  }

  void Release() {
    std::vector<std::pair<std::string, std::shared_ptr<http_exchange>>> released;
    {
      absl::MutexLock lock(&mutex_);
      released_ = true;
      released.swap(held_);
    }
    for (const auto& [path, exchange] : released) Answer(path, *exchange);
  }

  bool HasReceived(absl::string_view path) {
    absl::MutexLock lock(&mutex_);
    for (const http_request& request : received_) {
      if (request.path == path) return true;
    }
    return false;
  }

  // Returns the context token of the first request.
  std::string ContextToken() {
    absl::MutexLock lock(&mutex_);
    return std::string(FindHeader(received_.at(0).headers, "Teaseljunction-Context").value_or(""));
  }

 private:
  static void Answer(const std::string& path, http_exchange& exchange) {
    exchange.Respond({200, {}, absl::StrCat("{\"path\":\"", path, "\"}")});
  }

  absl::Mutex mutex_;
  bool released_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<http_request> received_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::pair<std::string, std::shared_ptr<http_exchange>>> held_ ABSL_GUARDED_BY(mutex_);
};

uint16_t PortOf(absl::string_view address) {
  uint32_t port = 0;
  REQUIRE(absl::SimpleAtoi(address.substr(address.rfind(':') + 1), &port));
  return static_cast<uint16_t>(port);
}

daemon_settings SettingsFor(const std::string& id, absl::Duration drain_delay,
                            absl::Duration drain_timeout) {
  daemon_settings settings;
  settings.listen = UnusedAddress();
  settings.operators_listen = UnusedAddress();
  settings.rpc_listen = UnusedAddress();
  settings.data_centre = "dc1";
  settings.daemon_id = id;
  settings.freshness_lease = absl::Seconds(5);
  settings.target_lease = absl::Minutes(5);
  settings.drain_delay = drain_delay;
  settings.drain_timeout = drain_timeout;
  settings.idle_connection_linger = absl::Seconds(5);
  settings.max_body_bytes = size_t{1} << 20;
  return settings;
}

// One host: a daemon with its target.
struct host {
  // Another process can take an unused port before the daemon does; then `make_settings` is called
  // again.
  host(const std::function<daemon_settings()>& make_settings, manifest_decoder decode) {
    target_server =
        http_server_builder().Address("127.0.0.1:0").Threads(1).Handler(&target).Build();
    target_address = absl::StrCat("127.0.0.1:", Require(target_server->Start()));
    for (int i = 0; daemon == nullptr && i < kMaxBuildAttempts; ++i) {
      settings = make_settings();
      auto built = Capture<std::unique_ptr<daemon_process>>(
          [&] { return daemon_builder().WithSettings(settings).WithDecoder(decode).Build(); });
      if (built.index() == 0) daemon = std::get<0>(std::move(built));
    }
    REQUIRE(daemon != nullptr);
    daemon->Start();
  }

  template <class Value>
  static Value Require(result<Value> made) {
    REQUIRE(made);
    return std::move(*made);
  }

  caller_answer Get(absl::string_view path, absl::string_view headers = "") const {
    const raw_socket connection = raw_socket::Connect(PortOf(settings.listen));
    return connection.connected() ? Exchange(connection, path, headers) : caller_answer();
  }

  std::future<caller_answer> GetAsync(std::string path) const {
    return std::async(std::launch::async, [this, path = std::move(path)] { return Get(path); });
  }

  void AnnounceTarget(int slots = 500) const {
    const std::string body =
        absl::StrCat(R"({"service":")", settings.daemon_id, R"(","incarnation":1,"slots":)", slots,
                     R"(,"address":")", target_address, "\"}");
    const raw_socket connection = raw_socket::Connect(PortOf(settings.listen));
    connection.Write(absl::StrCat(
        "POST /teaseljunction/v1/target HTTP/1.1\r\nHost: test\r\nContent-Length: ", body.size(),
        "\r\n\r\n", body));
    REQUIRE(absl::StrContains(connection.ReadUntil("\r\n\r\n"), " 204 "));
  }

  bool IsReadyToServe() const {
    const status_report status = daemon->Components().node.Status();
    int targets = 0;
    for (const daemon_announcement& known : status.directory) targets += known.target ? 1 : 0;
    return status.configuration_fresh && status.manifest_version == 1 && targets == 2;
  }

  daemon_settings settings;
  holding_target target;
  std::unique_ptr<http_server> target_server;
  std::string target_address;
  std::unique_ptr<daemon_process> daemon;
};

// Decodes a manifest whose open routes are meant for child calls, which have no context token.
result<manifest> DecodeWithInternalRoutes(absl::string_view text) {
  BOOST_LEAF_AUTO(decoded, DecodeManifest(text));
  for (route& listed : decoded.routes) listed.internal = listed.idempotent;
  return decoded;
}

// Marks all routes as meant for child calls, also those whose calls may run only once.
result<manifest> DecodeWithInternalOrders(absl::string_view text) {
  BOOST_LEAF_AUTO(decoded, DecodeManifest(text));
  for (route& listed : decoded.routes) {
    listed.internal = true;
    listed.claims = false;
  }
  return decoded;
}

// Two hosts with a target each, named after the service of their target. The near daemon is stopped
// by the tests; the far daemon is the control group and stays.
class planned_stop_fixture {
 public:
  explicit planned_stop_fixture(absl::Duration drain_delay,
                                absl::Duration drain_timeout = absl::Seconds(5),
                                manifest_decoder decode = &DecodeManifest)
      : data_directory_(std::filesystem::temp_directory_path() /
                        absl::StrCat("planned-stop-test-", getpid())) {
    far = std::make_unique<host>(
        [&] {
          std::filesystem::remove_all(data_directory_);
          daemon_settings settings = SettingsFor("far", drain_delay, drain_timeout);
          settings.control = true;
          settings.data_dir = data_directory_.string();
          settings.control_peers = {settings.rpc_listen};
          return settings;
        },
        decode);
    near = std::make_unique<host>(
        [&] {
          daemon_settings settings = SettingsFor("near", drain_delay, drain_timeout);
          settings.control_peers = far->settings.control_peers;
          return settings;
        },
        decode);
    near->AnnounceTarget();
    far->AnnounceTarget();
    SubmitManifest();
    REQUIRE(WaitUntil([this] { return near->IsReadyToServe() && far->IsReadyToServe(); }));
    run_ = std::async(std::launch::async, [this] { return near->daemon->Run(); }).share();
  }

  ~planned_stop_fixture() {
    Release();
    near->daemon->RequestStop();
    run_.wait();
    near->daemon.reset();
    far->daemon.reset();
    std::filesystem::remove_all(data_directory_);
  }

  void Release() const {
    near->target.Release();
    far->target.Release();
  }

  bool HasStopped() const { return IsReady(run_); }

  // Waits for the end of the stop. Returns false if it ran out of time.
  bool WaitForEnd() const { return run_.get(); }

  // Keeps the near target busy and then stops the near daemon. Returns the answer of the request
  // that keeps it busy.
  std::future<caller_answer> StopWhileBusy() const {
    auto running = near->GetAsync("/near/held");
    REQUIRE(WaitUntil([this] { return near->target.HasReceived("/near/held"); }));
    near->daemon->RequestStop();
    return running;
  }

  // Sends requests until one is refused because the daemon is stopping. Returns false when the
  // daemon has stopped before.
  bool WaitForRefusal() const {
    while (!HasStopped()) {
      if (near->Get("/far/quick").IsDrainingRefusal()) return true;
      absl::SleepFor(kRequestInterval);
    }
    return false;
  }

  std::unique_ptr<host> far;
  std::unique_ptr<host> near;

 private:
  void SubmitManifest() const {
    const auto decoded = Capture<manifest>([] { return DecodeManifest(kManifest); });
    const auto& submitted = std::get<manifest>(decoded);
    absl::Notification done;
    bool applied = false;
    far->daemon->Components().control.Propose(
        submit_manifest{submitted.version, ManifestDigest(submitted), EncodeManifest(submitted)},
        absl::Now() + kWaitLimit, [&](const outcome<command_result>& decision) {
          applied = decision.index() == 0 && std::get<command_result>(decision).applied;
          done.Notify();
        });
    done.WaitForNotification();
    REQUIRE(applied);
  }

  const std::filesystem::path data_directory_;
  std::shared_future<bool> run_;
};

// Stops the near daemon while its target is idle. Returns the answer to a request on a kept
// connection that is sent once requests on new connections are no longer served.
caller_answer RequestOnKeptConnection(const planned_stop_fixture& fixture, absl::string_view path) {
  const raw_socket kept = raw_socket::Connect(PortOf(fixture.near->settings.listen));
  REQUIRE(Exchange(kept, "/far/quick").status == 200);
  fixture.near->daemon->RequestStop();
  while (fixture.near->Get("/far/quick").status == 200) absl::SleepFor(kRequestInterval);
  return Exchange(kept, path);
}

}  // namespace

// Guards against a request that is taken late in a stop and given up when the stop ends.
TEST_CASE("a new request after the drain delay is refused while the target is busy") {
  const planned_stop_fixture fixture(absl::Milliseconds(200));
  const raw_socket kept = raw_socket::Connect(PortOf(fixture.near->settings.listen));
  REQUIRE(Exchange(kept, "/far/quick").status == 200);
  auto running = fixture.StopWhileBusy();
  std::vector<std::future<caller_answer>> taken;
  std::future<caller_answer> ended;
  std::string path;
  while (!ended.valid()) {
    path = absl::StrCat("/far/held-", taken.size());
    auto request = fixture.near->GetAsync(path);
    REQUIRE(WaitUntil([&] { return IsReady(request) || fixture.far->target.HasReceived(path); }));
    (IsReady(request) ? ended : taken.emplace_back()) = std::move(request);
    absl::SleepFor(kHeldRequestInterval);
  }
  const caller_answer refused = ended.get();
  INFO(refused.text);
  CHECK(refused.IsDrainingRefusal());
  CHECK(refused.ClosesConnection());
  CHECK_FALSE(fixture.far->target.HasReceived(path));
  const caller_answer refused_on_kept = Exchange(kept, "/far/late");
  CHECK(refused_on_kept.IsDrainingRefusal());
  CHECK(refused_on_kept.ClosesConnection());
  CHECK_FALSE(fixture.far->target.HasReceived("/far/late"));
  fixture.Release();
  CHECK(running.get().status == 200);
  for (auto& answer : taken) {
    INFO("requests taken before the first refusal: " << taken.size());
    const caller_answer received = answer.get();
    INFO(received.text);
    CHECK(received.status == 200);
  }
}

// Guards against an idle daemon that still takes requests on open connections after the drain
// delay.
TEST_CASE("a request on a kept connection after the drain delay is refused") {
  const planned_stop_fixture fixture(absl::Milliseconds(200));
  const caller_answer refused = RequestOnKeptConnection(fixture, "/far/late");
  INFO(refused.text);
  CHECK(refused.IsDrainingRefusal());
  CHECK(refused.ClosesConnection());
  CHECK_FALSE(fixture.far->target.HasReceived("/far/late"));
}

// Guards against a stop that drops requests which were taken before it.
TEST_CASE("a request taken before the stop is answered by its target") {
  const planned_stop_fixture fixture(absl::Milliseconds(200));
  auto remote = fixture.near->GetAsync("/far/held");
  REQUIRE(WaitUntil([&] { return fixture.far->target.HasReceived("/far/held"); }));
  auto local = fixture.StopWhileBusy();
  // A request is refused, or the sleep has lasted several times the drain delay.
  for (int i = 0; i < 20; ++i) {
    if (fixture.near->Get("/far/quick").status != 200) break;
    absl::SleepFor(kRequestInterval);
  }
  fixture.Release();
  CHECK(absl::StrContains(local.get().text, "{\"path\":\"/near/held\"}"));
  CHECK(absl::StrContains(remote.get().text, "{\"path\":\"/far/held\"}"));
}

// Guards against a refusal of child calls that makes running requests fail.
TEST_CASE("child calls of running requests are served after the drain delay") {
  const planned_stop_fixture fixture(absl::Milliseconds(200));
  auto running = fixture.StopWhileBusy();
  REQUIRE(fixture.WaitForRefusal());
  const std::string context =
      absl::StrCat("Teaseljunction-Context: ", fixture.near->target.ContextToken(), "\r\n");
  const caller_answer child = fixture.near->Get("/far/child", context);
  INFO(child.text);
  CHECK(child.status == 200);
  CHECK(fixture.far->target.HasReceived("/far/child"));
  fixture.Release();
  CHECK(running.get().status == 200);
}

// Guards against callers that keep a connection to a stopping daemon because nobody tells them.
TEST_CASE("answers carry Connection: close from the start of the stop") {
  const planned_stop_fixture fixture(absl::Seconds(3));
  auto running = fixture.StopWhileBusy();
  caller_answer answer;
  do {
    absl::SleepFor(kRequestInterval);
    answer = fixture.near->Get("/far/quick");
  } while (answer.status == 200 && !answer.ClosesConnection());
  INFO(answer.text);
  CHECK(answer.status == 200);
  CHECK(answer.ClosesConnection());
  fixture.Release();
  CHECK(running.get().status == 200);
}

// Guards against a stop of which other daemons and the provider learn only when it refuses them.
TEST_CASE("other daemons learn of a stop at its start") {
  const planned_stop_fixture fixture(absl::Seconds(5));
  fixture.near->daemon->RequestStop();
  REQUIRE(WaitUntil([&] {
    for (const daemon_announcement& known :
         fixture.far->daemon->Components().node.Status().directory) {
      if (known.daemon_id == "near") return known.draining;
    }
    return false;
  }));
}

// Guards against calls of other daemons that prolong the stop until they are given up.
TEST_CASE("a call of another daemon after the drain delay is refused") {
  const planned_stop_fixture fixture(absl::Milliseconds(200));
  const auto peers = rpc_peer_client_builder().Threads(1).Build();
  auto running = fixture.StopWhileBusy();
  outcome<call_answer> answer = call_answer{};
  std::string path;
  for (int i = 0; answer.index() == 0; ++i) {
    absl::SleepFor(kRequestInterval);
    path = absl::StrCat("/near/", i);
    absl::Notification done;
    peers->Execute(fixture.near->settings.rpc_listen,
                   {.request_id = path,
                    .service = "near",
                    .method = "GET",
                    .path = path,
                    .time_left = absl::Seconds(10),
                    .route = "near"},
                   absl::Seconds(10), [&](execute_result executed) {
                     answer = std::move(executed.answer);
                     done.Notify();
                   });
    done.WaitForNotification();
  }
  const auto& failure = std::get<error>(answer);
  INFO(AnswerFor(failure.kind).name << " " << failure.detail);
  CHECK(failure.kind == error_kind::kDraining);
  CHECK_FALSE(fixture.near->target.HasReceived(path));
  fixture.Release();
  CHECK(running.get().status == 200);
}

// Guards against callers of open routes that are taken for child calls until the stop ends.
TEST_CASE("an open route is refused after the drain delay when no call runs at the target") {
  const planned_stop_fixture fixture(absl::Milliseconds(200), absl::Seconds(5),
                                     &DecodeWithInternalRoutes);
  const caller_answer refused = RequestOnKeptConnection(fixture, "/far/late");
  INFO(refused.text);
  CHECK(refused.IsDrainingRefusal());
  CHECK_FALSE(fixture.far->target.HasReceived("/far/late"));
}

// Guards against a call that is taken late in a stop and cut, although it may not be repeated.
TEST_CASE("an unmarked call that must run once is refused when it cannot end before the stop") {
  const planned_stop_fixture fixture(absl::Milliseconds(200), absl::Seconds(5),
                                     &DecodeWithInternalOrders);
  auto running = fixture.StopWhileBusy();
  const auto send = [&](absl::string_view method, absl::string_view path,
                        absl::string_view headers) {
    const raw_socket caller = raw_socket::Connect(PortOf(fixture.near->settings.listen));
    caller.Write(absl::StrCat(method, " ", path, " HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n",
                              headers, "\r\n"));
    return caller.ReadUntil("}");
  };
  std::string path;
  std::string answer;
  for (int i = 0; !absl::StrContains(answer, "error:draining\"") && !fixture.HasStopped(); ++i) {
    absl::SleepFor(kRequestInterval);
    path = absl::StrCat("/order/", i);
    answer = send("POST", path, "");
  }
  INFO(answer);
  CHECK(absl::StrContains(answer, "error:draining\""));
  CHECK_FALSE(fixture.far->target.HasReceived(path));
  CHECK(absl::StrContains(send("POST", "/order/short", "Teaseljunction-Deadline-Ms: 500\r\n"),
                          "{\"path\":\"/order/short\"}"));
  CHECK(absl::StrContains(send("GET", "/far/long", ""), "{\"path\":\"/far/long\"}"));
  fixture.Release();
  CHECK(running.get().status == 200);
}

// Guards against a stop that ends with an error because a caller never sends the rest of a request.
TEST_CASE("half a request does not keep a stop open until its time limit") {
  const absl::Duration drain_timeout = GENERATE(absl::Seconds(10), absl::Seconds(3));
  const planned_stop_fixture fixture(absl::Milliseconds(200), drain_timeout);
  const raw_socket caller = raw_socket::Connect(PortOf(fixture.near->settings.listen));
  caller.Write(
      "POST /order/half HTTP/1.1\r\nHost: test\r\nIdempotency-Key: two\r\n"
      "Content-Length: 10\r\n\r\n123");
  fixture.near->daemon->RequestStop();
  CHECK(fixture.WaitForEnd());
  CHECK(caller.ReadAll().empty());
  CHECK_FALSE(fixture.far->target.HasReceived("/order/half"));
}

// Guards against a stop that exceeds its grace period because listeners wait one after the other
// for clients that read nothing.
TEST_CASE("a stop has closed all listeners when it ends") {
  class unread_handler : public http_handler {
   public:
    void Handle(http_request, std::shared_ptr<http_exchange> exchange) override {
      exchange->Respond({200, {}, std::string(size_t{16} << 20, 'x')});
    }
  };
  unread_handler handler;
  const planned_stop_fixture fixture(absl::Milliseconds(200), absl::Seconds(1));
  std::vector<uint16_t> ports = {PortOf(fixture.near->settings.listen),
                                 PortOf(fixture.near->settings.operators_listen)};
  std::vector<raw_socket> clients;
  for (int i = 0; i < 2; ++i) {
    const std::string address = UnusedAddress();
    REQUIRE(fixture.near->daemon->AddListener(address, handler));
    ports.push_back(PortOf(address));
    clients.push_back(raw_socket::Connect(ports.back()));
    clients.back().Write("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
  }
  fixture.near->daemon->RequestStop();
  CHECK(fixture.WaitForEnd());
  for (const uint16_t port : ports) CHECK_FALSE(raw_socket::Connect(port).connected());
}

// Guards against an order whose repeat is refused as in progress, because the daemon that holds its
// claim stopped before its outcome was known.
TEST_CASE("a stop waits for the outcome of an order whose caller has left") {
  const planned_stop_fixture fixture(absl::Milliseconds(200));
  {
    const raw_socket caller = raw_socket::Connect(PortOf(fixture.near->settings.listen));
    caller.Write(kOrder);
    REQUIRE(WaitUntil([&] { return fixture.far->target.HasReceived("/order/held"); }));
  }
  // The daemon has noticed the disconnect when its connection is closed.
  fixture.near->daemon->RequestStop();
  while (fixture.near->Get("/far/quick").status != 0) absl::SleepFor(kRequestInterval);
  // Without an open connection the stop takes less than this time unless it waits for the order.
  for (int i = 0; i < 20 && !fixture.HasStopped(); ++i) absl::SleepFor(kRequestInterval);
  CHECK_FALSE(fixture.HasStopped());
  fixture.Release();
  REQUIRE(WaitUntil([&] { return fixture.HasStopped(); }));
  const raw_socket repeat = raw_socket::Connect(PortOf(fixture.far->settings.listen));
  repeat.Write(kOrder);
  CHECK(absl::StrContains(repeat.ReadUntil("}"), " 200 "));
}

// Guards against a leader that stops only at the end of its time because daemons keep calling it.
TEST_CASE("syncs of other daemons do not prolong the stop of the leader") {
  const planned_stop_fixture fixture(absl::Milliseconds(200), 2 * kWaitLimit);
  const auto peers = rpc_peer_client_builder().Threads(1).Build();
  const sync_request sync{.daemon = fixture.near->daemon->Components().node.Status().daemon};
  auto run = std::async(std::launch::async, [&] { return fixture.far->daemon->Run(); });
  auto syncs = std::async(std::launch::async, [&] {
    int count = 0;
    for (; !IsReady(run); ++count) {
      absl::Notification done;
      peers->Sync(fixture.far->settings.rpc_listen, sync, absl::Seconds(1),
                  [&](const outcome<sync_response>&) { done.Notify(); });
      done.WaitForNotification();
    }
    return count;
  });
  fixture.far->daemon->RequestStop();
  CHECK(WaitUntil([&] { return IsReady(run); }));
  CHECK(syncs.get() > 0);
  CHECK(run.get());
}

// Guards against calls of other daemons that are lost with their connection although their target
// has not got them.
TEST_CASE("a queued call is refused as not run when the drain delay is over") {
  const planned_stop_fixture fixture(absl::Milliseconds(200));
  fixture.near->AnnounceTarget(1);
  auto running = fixture.near->GetAsync("/near/held");
  REQUIRE(WaitUntil([&] { return fixture.near->target.HasReceived("/near/held"); }));
  const auto peers = rpc_peer_client_builder().Threads(1).Build();
  outcome<call_answer> answer = call_answer{};
  absl::Notification done;
  peers->Execute(fixture.near->settings.rpc_listen,
                 {.request_id = "queued",
                  .service = "near",
                  .method = "GET",
                  .path = "/near/queued",
                  .priority = request_priority::kCritical,
                  .depth = 1,
                  .time_left = kWaitLimit,
                  .route = "near",
                  .max_wait = kWaitLimit},
                 kWaitLimit, [&](execute_result executed) {
                   answer = std::move(executed.answer);
                   done.Notify();
                 });
  REQUIRE(WaitUntil(
      [&] { return fixture.near->daemon->Components().node.Status().calls_queued == 1; }));
  fixture.near->daemon->RequestStop();
  done.WaitForNotification();
  REQUIRE(answer.index() == 1);
  const auto& failure = std::get<error>(answer);
  INFO(AnswerFor(failure.kind).name << " " << failure.detail);
  CHECK(failure.kind == error_kind::kDraining);
  CHECK_FALSE(fixture.near->target.HasReceived("/near/queued"));
  running.wait();
}

}  // namespace teaseljunction
