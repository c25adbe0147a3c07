#include "rpc/internal/convert.h"

#include <capnp/message.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <functional>

#include "common/compression.h"

namespace teaseljunction {
namespace {

/// Encodes a value and returns the message as text.
template <class Wire, class T>
std::string EncodedText(const T& value) {
  capnp::MallocMessageBuilder message;
  Encode(value, message.initRoot<Wire>());
  const kj::String text = kj::str(message.getRoot<Wire>().asReader());
  return std::string(text.cStr(), text.size());
}

template <class Wire, class T>
T RoundTrip(const T& value) {
  capnp::MallocMessageBuilder message;
  Encode(value, message.initRoot<Wire>());
  return Decode(message.getRoot<Wire>().asReader());
}

/// Checks that a round trip keeps all fields of the schema, and that `value` does not encode like a
/// default value.
template <class Wire, class T>
void CheckLossless(const T& value) {
  CHECK(EncodedText<Wire>(RoundTrip<Wire>(value)) == EncodedText<Wire>(value));
  CHECK(EncodedText<Wire>(value) != EncodedText<Wire>(T()));
}

const call_answer kAnswer = {201, {{"A", "1"}, {"B", ""}}, std::string("x\0y", 3)};

daemon_announcement Daemon() {
  return {
      "d1", 2, "127.0.0.1:1", "dc1", target_announcement{"orders", 3, 4, true, 0.5, "10.0.0.1:2"},
      true, 9};
}

}  // namespace

// Guards against a field that is missing or swapped in one of the conversions.
TEST_CASE("conversions keep every field") {
  call request{"r1",
               "orders",
               "POST",
               "/o?x",
               {{"H", "v"}},
               "body",
               "acme",
               request_priority::kHigh,
               7,
               2,
               31,
               absl::Milliseconds(250),
               false,
               "acme/k",
               "f1"};
  CheckLossless<wire::Call>(request);
  const call decoded = RoundTrip<wire::Call>(request);
  CHECK(decoded.identity == "acme/k");
  CHECK(decoded.fingerprint == "f1");
  CHECK(decoded.client_account == "acme");
  CHECK(decoded.time_left == absl::Milliseconds(250));
  CHECK(decoded.priority == request_priority::kHigh);
  CHECK_FALSE(decoded.idempotent);

  execute_result result{kAnswer, {request_priority::kNormal, 9}, 5, absl::Milliseconds(3)};
  CheckLossless<wire::ExecuteResult>(result);
  const execute_result received = RoundTrip<wire::ExecuteResult>(result);
  REQUIRE(received.answer.index() == 0);
  CHECK(std::get<0>(received.answer).body == kAnswer.body);
  CHECK(received.level == result.level);
  CHECK(received.unused_attempts == 5);

  sync_request sync{
      Daemon(), 1, "m", 2, 3, 4, {{"acme", 5, 2, 1}}, {{"f", "d2", true, absl::Seconds(3)}}};
  CheckLossless<wire::SyncRequest>(sync);
  sync_response synced;
  synced.from_leader = true;
  synced.leader_address = "l";
  synced.manifest = {4, "d", "{}"};
  synced.directory = {5, 6, true, true, {{Daemon(), false}}};
  synced.suspect_fingerprints = {"f3"};
  synced.grants = {{"acme", 7, absl::Seconds(1), absl::Milliseconds(5), true}};
  synced.quarantined_fingerprints = {"f1", "f2"};
  CheckLossless<wire::SyncResponse>(synced);
  CHECK(RoundTrip<wire::SyncResponse>(synced).grants[0].lifetime == absl::Seconds(1));

  propose_response proposed{
      true, "l", {true, {error_kind::kNoTarget, "x"}, true, claim_state::kCompleted, kAnswer}};
  CheckLossless<wire::ProposeResponse>(proposed);
  status_report status{Daemon(), 1,
                       "m",      true,
                       2,        3,
                       4,        {Daemon(), Daemon()},
                       true,     member_role::kLeader,
                       5,        6,
                       "l",      {{7, "a", "dc", true}}};
  CheckLossless<wire::Status>(status);
}

// Guards against a command that is decoded as another one.
TEST_CASE("conversions keep the kind of a command") {
  const std::vector<command> commands = {
      std::monostate(),
      submit_manifest{1, "d", "{}"},
      claim{"a", "i", "f", "t"},
      complete_claim{"a", "i", "t", kAnswer},
      release_claim{"a", "i", "t"},
      quarantine_fingerprint{"f"},
      add_learner{1, "a", "dc"},
      promote_learner{2},
      remove_member{3},
  };
  for (const command& value : commands) {
    CHECK(RoundTrip<wire::Command>(value).index() == value.index());
    CHECK(EncodedText<wire::Command>(RoundTrip<wire::Command>(value)) ==
          EncodedText<wire::Command>(value));
  }
}

// Guards against enum numbers of a later version that are decoded as another value, and against an
// error kind of such a version that is reported as "not run".
TEST_CASE("unknown enum numbers are decoded as the most conservative value") {
  capnp::MallocMessageBuilder message;
  auto result = message.initRoot<wire::ExecuteResult>();
  result.initFailure().setKind(250);
  result.setLevelPriority(9);
  const execute_result decoded = Decode(result.asReader());
  CHECK(std::get<1>(decoded.answer).kind == error_kind::kInternal);
  CHECK(AnswerFor(error_kind::kInternal).run == run_state::kMayHaveRun);
  CHECK(decoded.level.priority == request_priority::kLow);
}

// Guards against an answer of another daemon whose status is none, which a caller then gets (issue
// 48).
TEST_CASE("an answer whose status is none is decoded as a failure that may have run") {
  for (const int status : {-1, 0, 99, 101, 199, 600, 999, 2000}) {
    capnp::MallocMessageBuilder message;
    auto result = message.initRoot<wire::ExecuteResult>();
    result.initAnswer().setStatus(status);
    const execute_result decoded = Decode(result.asReader());
    REQUIRE(decoded.answer.index() == 1);
    CHECK(std::get<1>(decoded.answer).kind == error_kind::kTargetFailed);
  }
  CHECK(AnswerFor(error_kind::kTargetFailed).run == run_state::kMayHaveRun);
}

// Guards against a manifest that is confirmed although its content has not arrived.
TEST_CASE("a compressed manifest arrives with its content, a damaged one without") {
  sync_request request;
  request.accepts_compressed = true;
  CHECK(RoundTrip<wire::SyncRequest>(request).accepts_compressed);
  CHECK_FALSE(RoundTrip<wire::SyncRequest>(sync_request()).accepts_compressed);
  const std::string content(100000, 'x');
  sync_response response;
  response.manifest = {7, "digest", content};
  CHECK(RoundTrip<wire::SyncResponse>(response).manifest.content == content);
  response.compressed_manifest = std::make_shared<const std::string>(Compress(content));
  response.manifest.content = "not sent";
  manifest_record received = RoundTrip<wire::SyncResponse>(response).manifest;
  CHECK(received.version == 7);
  CHECK(received.digest == "digest");
  CHECK(received.content == content);
  response.compressed_manifest = std::make_shared<const std::string>("damaged");
  received = RoundTrip<wire::SyncResponse>(response).manifest;
  CHECK(received.version == 7);
  CHECK(received.content.empty());
}

// Guards against an entry of the directory that cannot be used and ends or blocks its readers.
TEST_CASE("entries that cannot be used are left out of a directory and the others are kept") {
  struct row {
    const char* what;
    std::function<void(daemon_announcement&)> change;
    bool keeps_daemon;
  };
  const std::string huge(1'000'000, 'x');
  const row rows[] = {
      {"no id", [](auto& daemon) { daemon.daemon_id = ""; }, false},
      {"huge id", [&](auto& daemon) { daemon.daemon_id = huge; }, false},
      {"id with a line break", [](auto& daemon) { daemon.daemon_id = "d\n2"; }, false},
      {"huge data centre", [&](auto& daemon) { daemon.data_centre = huge; }, false},
      {"no address", [](auto& daemon) { daemon.address = ""; }, false},
      {"port 0", [](auto& daemon) { daemon.address = "127.0.0.1:0"; }, false},
      {"port out of range", [](auto& daemon) { daemon.address = "127.0.0.1:65536"; }, false},
      {"host name", [](auto& daemon) { daemon.address = "daemon.example:1"; }, false},
      {"load NaN", [](auto& daemon) { daemon.target->load = std::nan(""); }, true},
      {"load above 1", [](auto& daemon) { daemon.target->load = 1e300; }, true},
      {"too many slots", [](auto& daemon) { daemon.target->slots = UINT32_MAX; }, true},
      {"incarnation", [](auto& daemon) { daemon.target->incarnation = UINT64_MAX; }, true},
      {"no service", [](auto& daemon) { daemon.target->service = ""; }, true},
      {"huge service", [&](auto& daemon) { daemon.target->service = huge; }, true},
      {"target's address", [](auto& daemon) { daemon.target->address = "a\xff:0"; }, true},
      {"target's id", [](auto& daemon) { daemon.target->target_id = "i\r\nX: y"; }, true},
  };
  for (const row& odd : rows) {
    CAPTURE(odd.what);
    daemon_announcement changed = Daemon();
    changed.daemon_id = "odd";
    odd.change(changed);
    sync_response response;
    response.directory = {5, 6, true, true, {{Daemon()}, {changed}, {Daemon()}}};
    const auto entries = RoundTrip<wire::SyncResponse>(response).directory.entries;
    CHECK(entries.size() == (odd.keeps_daemon ? 3 : 2));
    CHECK(entries.front().daemon == Daemon());
    CHECK(entries.back().daemon == Daemon());
    if (odd.keeps_daemon) CHECK_FALSE(entries.at(1).daemon.target);
  }
}

// Guards against a field that is added to a native type but not to its wire form: the structured
// bindings then no longer compile. Such a fault broke the rate limits of client accounts, because a
// token demand lost its number of waiting calls.
TEST_CASE("a sync round trip keeps every field of its types") {
  sync_request request;
  request.demands = {{"acme", 5, 2, 1}};
  request.crashes = {{"f", "d2", true, absl::Seconds(3)}};
  const sync_request requested = RoundTrip<wire::SyncRequest>(request);
  const auto& [account, tokens, waiting, missed] = requested.demands[0];
  CHECK((account == "acme" && tokens == 5 && waiting == 2 && missed == 1));
  const auto& [fingerprint, target, completed, age] = requested.crashes[0];
  CHECK((fingerprint == "f" && target == "d2" && completed && age == absl::Seconds(3)));

  sync_response response;
  response.grants = {{"acme", 7, absl::Seconds(1), absl::Milliseconds(5), true}};
  response.directory = {5, 6, true, true, {{Daemon(), false}}};
  response.suspect_fingerprints = {"f3"};
  const sync_response responded = RoundTrip<wire::SyncResponse>(response);
  const auto& [name, granted, lifetime, retry_after, scarce] = responded.grants[0];
  CHECK((name == "acme" && granted == 7 && scarce));
  CHECK((lifetime == absl::Seconds(1) && retry_after == absl::Milliseconds(5)));
  const auto& [epoch, version, whole, settled, entries] = responded.directory;
  CHECK((epoch == 5 && version == 6 && whole && settled && entries.size() == 1));
  CHECK(responded.suspect_fingerprints == response.suspect_fingerprints);
}

}  // namespace teaseljunction
