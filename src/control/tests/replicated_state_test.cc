#include "control/replicated_state.h"

#include <catch2/catch.hpp>

#include "control/codec.h"

namespace teaseljunction {
namespace {

/// Applies commands as committed records.
class state_fixture {
 public:
  explicit state_fixture(const replicated_state_limits& limits = {}) : state(limits) {}

  command_result Apply(const command& value) {
    log_record record;
    record.index = state.AppliedIndex() + 1;
    record.term = 1;
    record.time = time;
    record.kind = record_kind::kCommand;
    record.data = EncodeCommand(value);
    return state.Apply(record);
  }

  command_result Claim(const std::string& identity, const std::string& attempt,
                       const std::string& fingerprint = "f") {
    return Apply(claim{"account", identity, fingerprint, attempt});
  }

  command_result Complete(const std::string& identity, const std::string& attempt,
                          const std::string& body) {
    return Apply(complete_claim{"account", identity, attempt, {201, {{"X-A", "b"}}, body}});
  }

  command_result Release(const std::string& identity, const std::string& attempt) {
    return Apply(release_claim{"account", identity, attempt});
  }

  replicated_state state;
  absl::Time time = absl::UnixEpoch();
};

absl::optional<error_kind> Restore(state_fixture& fixture, const log_snapshot& snapshot) {
  const outcome<int> done = Capture<int>([&]() -> result<int> {
    BOOST_LEAF_CHECK(fixture.state.Restore(snapshot));
    return 0;
  });
  if (done.index() == 0) return absl::nullopt;
  return std::get<1>(done).kind;
}

}  // namespace

// Guards against concurrent submissions of two operators that are both accepted, and against a
// return to an older manifest.
TEST_CASE("manifest versions follow the acceptance rule") {
  state_fixture f;
  struct row {
    uint64_t version;
    const char* digest;
    error_kind refusal;
    bool applied;
    bool already;
  };
  const row rows[] = {
      {0, "a", error_kind::kManifestInvalid, false, false},
      {2, "a", error_kind::kInternal, true, false},
      {2, "a", error_kind::kInternal, true, true},
      {2, "b", error_kind::kManifestConflict, false, false},
      {1, "a", error_kind::kManifestOutdated, false, false},
      {3, "b", error_kind::kInternal, true, false},
      {2, "a", error_kind::kManifestOutdated, false, false},
  };
  for (const row& r : rows) {
    const command_result got = f.Apply(submit_manifest{r.version, r.digest, "{}"});
    CHECK(got.applied == r.applied);
    CHECK(got.already_accepted == r.already);
    CHECK(got.failure.kind == r.refusal);
  }
  CHECK(f.state.Manifest()->version == 3);
  CHECK(f.state.Manifest()->digest == "b");
}

// Guards against a request that runs twice, and against a repeated request that gets no response.
TEST_CASE("a claim belongs to one attempt until it is released or expires") {
  state_fixture f;
  CHECK(f.Claim("i", "1").claim_outcome == claim_state::kGranted);
  CHECK(f.Claim("i", "1").claim_outcome == claim_state::kGranted);
  CHECK(f.Claim("i", "2").failure.kind == error_kind::kIdentityInProgress);
  CHECK(f.Claim("i", "2", "g").failure.kind == error_kind::kIdentityMismatch);
  CHECK(f.Apply(claim{"other account", "i", "g", "2"}).claim_outcome == claim_state::kGranted);
  CHECK_FALSE(f.Complete("i", "2", "x").applied);
  CHECK_FALSE(f.Release("i", "2").applied);
  CHECK(f.Release("i", "1").applied);
  CHECK(f.Claim("i", "2").claim_outcome == claim_state::kGranted);
  CHECK_FALSE(f.Complete("i", "1", "late").applied);
  CHECK(f.Complete("i", "2", "body").applied);
  CHECK(f.Complete("i", "2", "another").applied);
  CHECK_FALSE(f.Release("i", "2").applied);
  const command_result replay = f.Claim("i", "3");
  CHECK(replay.claim_outcome == claim_state::kCompleted);
  CHECK(replay.answer.body == "body");
  CHECK(replay.answer.headers.at(0).value == "b");
  f.time += absl::Hours(24) - absl::Nanoseconds(1);
  CHECK(f.Claim("i", "3").claim_outcome == claim_state::kCompleted);
  f.time += absl::Nanoseconds(1);
  CHECK(f.Claim("i", "3").claim_outcome == claim_state::kGranted);
}

// Guards against unbounded memory use, and against a second run of a request whose response was not
// kept.
TEST_CASE("limits refuse new claims and evict responses, but never drop a claim") {
  replicated_state_limits limits;
  limits.max_claims = 3;
  limits.max_answer_bytes = 10;
  limits.max_total_answer_bytes = 18;
  limits.max_quarantined = 2;
  state_fixture f(limits);
  for (const char* identity : {"a", "b", "c"}) f.Claim(identity, "1");
  CHECK(f.Claim("d", "1").failure.kind == error_kind::kClaimUnavailable);
  f.Complete("a", "1", "12345");
  f.Complete("b", "1", "12345");
  f.Complete("c", "1", "more than ten bytes");
  CHECK(f.Claim("c", "1").failure.kind == error_kind::kIdentityInProgress);
  CHECK(f.Claim("a", "2").claim_outcome == claim_state::kCompleted);
  f.time += absl::Hours(23);
  CHECK(f.Claim("b", "2").claim_outcome == claim_state::kCompleted);
  f.time += absl::Hours(1);
  CHECK(f.Claim("d", "1").claim_outcome == claim_state::kGranted);
  for (const char* identity : {"e", "f"}) f.Claim(identity, "1");
  for (const char* identity : {"d", "e", "f"}) f.Complete(identity, "1", "12345");
  CHECK(f.Claim("d", "2").failure.kind == error_kind::kIdentityInProgress);
  CHECK(f.Claim("f", "2").claim_outcome == claim_state::kCompleted);
  for (const char* print : {"x", "y", "x"}) CHECK(f.Apply(quarantine_fingerprint{print}).applied);
  CHECK(f.Apply(quarantine_fingerprint{"z"}).failure.kind == error_kind::kOverloaded);
  CHECK(f.state.Quarantined(0) == std::vector<std::string>{"x", "y"});
  CHECK(f.state.Quarantined(1) == std::vector<std::string>{"y"});
  CHECK(f.state.Quarantined(7).empty());
}

// Guards against a member whose state differs from that of the others after it loaded a snapshot.
TEST_CASE("a state restored from a snapshot behaves like the original") {
  state_fixture original;
  original.Apply(submit_manifest{1, "d", "content"});
  original.Apply(quarantine_fingerprint{"q"});
  for (const char* identity : {"a", "b", "c", "d"}) {
    original.Claim(identity, "1");
    original.time += absl::Hours(1);
  }
  original.Release("b", "1");
  original.Complete("c", "1", "body");
  state_fixture copy;
  REQUIRE_FALSE(Restore(copy, original.state.Snapshot()));
  for (state_fixture* f : {&original, &copy}) {
    f->time = absl::UnixEpoch() + absl::Hours(24);
    CHECK(f->Claim("a", "2").claim_outcome == claim_state::kGranted);
    CHECK(f->Claim("b", "2").claim_outcome == claim_state::kGranted);
    CHECK(f->Claim("c", "2").answer.body == "body");
    CHECK(f->Claim("d", "2").claim_outcome == claim_state::kInProgress);
  }
  CHECK(*original.state.Snapshot().data == *copy.state.Snapshot().data);
  log_snapshot damaged = original.state.Snapshot();
  damaged.data = std::make_shared<const std::string>(damaged.data->substr(0, 64));
  CHECK(Restore(copy, damaged) == error_kind::kStorageCorrupt);
  CHECK(copy.state.Manifest()->version == 1);
}

// Guards against crashes on messages that were truncated or damaged in transit.
TEST_CASE("damaged messages are refused") {
  raft_message message;
  message.kind = raft_message_kind::kSnapshot;
  message.records.resize(3);
  message.snapshot = state_fixture().state.Snapshot();
  const std::string bytes = EncodeMessage(message);
  int decoded = 0;
  for (size_t size = 0; size <= bytes.size(); ++size) {
    const auto cut = Capture<control_message>([&] { return DecodeMessage(bytes.substr(0, size)); });
    if (cut.index() == 0) ++decoded;
  }
  CHECK(decoded == 1);
  for (size_t i = 0; i < bytes.size() * 8; ++i) {
    std::string flipped = bytes;
    flipped[i / 8] ^= static_cast<char>(1 << (i % 8));
    Capture<control_message>([&] { return DecodeMessage(flipped); });
  }
}

// Guards against the refusal of a submission that is repeated because its response was lost, and
// against two manifests with the same base that are both accepted.
TEST_CASE("a submission with a base is accepted once and acknowledged again") {
  state_fixture f;
  struct row {
    const char* what;
    submit_manifest command;
    bool applied;
    bool repeated;
    error_kind failure;
  };
  const row rows[] = {
      {"the first", {3, "a", "A", 0}, true, false, {}},
      {"the first again", {3, "a", "A", 0}, true, true, {}},
      {"another on top of the same base",
       {4, "b", "B", 0},
       false,
       false,
       error_kind::kManifestConflict},
      {"the same version with other content",
       {3, "c", "C", 3},
       false,
       false,
       error_kind::kManifestOutdated},
      {"a lower version", {2, "d", "D", 3}, false, false, error_kind::kManifestOutdated},
      {"the next", {7, "e", "E", 3}, true, false, {}},
      {"the first, long after", {3, "a", "A", 0}, true, true, {}},
      {"on top of an old version", {9, "f", "F", 3}, false, false, error_kind::kManifestConflict},
  };
  for (const row& step : rows) {
    INFO(step.what);
    const command_result done = f.Apply(step.command);
    CHECK(done.applied == step.applied);
    CHECK(done.already_accepted == step.repeated);
    if (!step.applied) CHECK(done.failure.kind == step.failure);
  }
  CHECK(f.state.Manifest()->version == 7);
  // A member that starts from a snapshot recognises manifests that were accepted before.
  state_fixture restored;
  REQUIRE_FALSE(Restore(restored, f.state.Snapshot()));
  CHECK(restored.Apply(submit_manifest{3, "a", "A", 0}).already_accepted);
  CHECK(restored.state.Manifest()->version == 7);
}

}  // namespace teaseljunction
