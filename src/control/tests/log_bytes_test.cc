#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "control/raft_replica.h"
#include "control/tests/mocks/simulated_group.h"

namespace teaseljunction {
namespace {

constexpr size_t kManifestBytes = 1536 * 1024;

submit_manifest LargeManifest(uint64_t version) {
  return {version,
          absl::StrCat("digest", version),
          std::string(kManifestBytes, static_cast<char>('a' + version % 26)),
          {}};
}

void SubmitManifests(simulated_group& group, uint64_t first, uint64_t count) {
  for (uint64_t version = first; version < first + count; ++version) {
    group.ProposeUntilApplied(LargeManifest(version));
  }
}

bool HaveAllApplied(simulated_group& group, uint64_t version) {
  for (int node = 0; node < group.Size(); ++node) {
    if (group.Core(node)->State().Manifest()->version != version) return false;
  }
  return true;
}

}  // namespace

// Guards against a log that is bounded by the number of its records only, so that large
// configurations exhaust the memory of all members (review case 5).
TEST_CASE("the log in memory is bounded in bytes over many large changes") {
  simulated_group group(5, 5);
  group.generate_load = false;
  SubmitManifests(group, 1, 300);
  CHECK(group.MaxLogBytes() <= kMaxLogBytes);
  group.RunUntil("equal members", [&] { return HaveAllApplied(group, 300); });
}

// Guards against records that are kept without a limit for a member that is away, and against one
// that does not catch up once they are dropped.
TEST_CASE("the log in memory is bounded in bytes while a member is away") {
  simulated_group group(5, 6);
  group.generate_load = false;
  SubmitManifests(group, 1, 1);
  const int away = (group.Leader() + 1) % group.Size();
  SECTION("isolated") { group.Isolate(away, true, true); }
  SECTION("ended") { group.Kill(away); }
  SubmitManifests(group, 2, 120);
  group.Recover();
  SubmitManifests(group, 122, 20);
  group.RunUntil("equal members", [&] { return HaveAllApplied(group, 141); });
  CHECK(group.MaxLogBytes() <= kMaxLogBytes);
  group.CheckNoFailure();
}

// Guards against uncommitted records without a limit in bytes, while members that are needed for a
// commit do not answer.
TEST_CASE("uncommitted records are bounded in bytes") {
  simulated_group group(5, 7, 0, 4);
  group.generate_load = false;
  SubmitManifests(group, 1, 1);
  const int leader = group.Leader();
  for (const int offset : {1, 2}) {
    group.Freeze((leader + offset) % group.Size(), absl::Seconds(5));
  }
  for (uint64_t version = 2; version < 62; ++version) {
    group.ProposeAtLeader(LargeManifest(version));
    group.Run(absl::Milliseconds(20));
  }
  const command_result refused = group.ProposeAndWait(LargeManifest(62));
  CHECK(refused.failure.kind == error_kind::kOverloaded);
  CHECK(group.MaxLogBytes() <= kMaxLogBytes);
  group.Run(absl::Seconds(5));
  SubmitManifests(group, 70, 1);
  group.RunUntil("equal members", [&] { return HaveAllApplied(group, 70); });
}

// Guards against messages without a limit in bytes to a member that lags: the leader's log was sent
// at once, and again with every response.
TEST_CASE("records in flight to a member that lags are bounded in bytes") {
  const uint64_t records = 12;
  seeded_random_source random(1);
  const group_configuration members = {{1, "1", "a", true}, {2, "2", "a", true}};
  stored_log stored;
  stored.state = {1, 9, 1, 0, members};
  stored.snapshot.emplace();
  stored.snapshot->configuration = members;
  for (uint64_t index = 1; index <= records; ++index) {
    log_record record;
    record.index = index;
    record.term = 1;
    record.kind = record_kind::kCommand;
    record.data = std::string(kManifestBytes, 'a');
    stored.records.push_back(std::move(record));
  }
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  raft_replica leader({}, std::move(stored), "1", random, now);
  now += absl::Seconds(2);
  leader.Tick(now);
  raft_message message;
  message.group_id = 9;
  message.from = 2;
  message.to = 1;
  message.from_address = "2";
  message.accepted = true;
  message.term = 2;
  message.kind = raft_message_kind::kPreVoteResponse;
  leader.Step(message, now);
  message.kind = raft_message_kind::kVoteResponse;
  leader.Step(message, now);
  REQUIRE(leader.Role() == member_role::kLeader);
  leader.TakeOutput(now);
  // The member has none of the records.
  message.kind = raft_message_kind::kAppendResponse;
  message.accepted = false;
  message.log_index = records;
  leader.Step(message, now);
  leader.TakeOutput(now);
  message.accepted = true;
  message.log_index = 0;
  uint64_t sent = 0;
  for (uint64_t answered = 0; answered <= records; ++answered) {
    message.log_index = answered;
    // A heartbeat is answered with the record before the next one, which ends the probing.
    leader.Step(message, now);
    for (const outgoing_message& outgoing : leader.TakeOutput(now).messages) {
      if (!outgoing.message.records.empty()) sent = outgoing.message.records.back().index;
    }
    INFO("answered " << answered << ", sent " << sent);
    const uint64_t in_flight = sent > answered ? sent - answered : 0;
    CHECK(in_flight * kManifestBytes <= kMaxInFlightBytes + kMaxCommandBytes);
  }
  CHECK(sent == records + 1);
}

}  // namespace teaseljunction
