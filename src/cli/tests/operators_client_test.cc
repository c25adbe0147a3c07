#include "cli/operators_client.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cli/operators_json.h"
#include "cli/tests/mocks/fake_transport.h"

namespace teaseljunction {
namespace {

struct attempt_case {
  std::string name;
  repetition allowed;
  std::vector<transport_answer> answers;
  exit_code code;
  size_t sent;
};

const std::string kOutdated = R"({"type":"manifest-outdated","title":"t","status":409})";

}  // namespace

// Guards against a tool that reports a refusal for something that may have been carried out, or
// that repeats what must not be repeated.
TEST_CASE("exit codes and attempts follow the outcomes") {
  const std::vector<attempt_case> cases = {
      {"first server", repetition::kSafe, {Answered(200)}, exit_code::kOk, 1},
      {"second server", repetition::kSafe, {NotSent(), Answered(200)}, exit_code::kOk, 2},
      {"none reachable", repetition::kSafe, {}, exit_code::kUnreachable, 2},
      {"refused", repetition::kSafe, {Answered(409, "not-run")}, exit_code::kRefused, 1},
      {"not the leader",
       repetition::kUnsafe,
       {Answered(421, "not-run"), Answered(200)},
       exit_code::kOk,
       2},
      {"no quorum anywhere",
       repetition::kUnsafe,
       {Answered(503, "not-run"), Answered(503, "not-run")},
       exit_code::kRefused,
       2},
      {"lost, unsafe", repetition::kUnsafe, {Lost()}, exit_code::kOutcomeUnknown, 1},
      {"commit unknown, unsafe",
       repetition::kUnsafe,
       {Answered(504, "may-have-run")},
       exit_code::kOutcomeUnknown,
       1},
      {"error without outcome",
       repetition::kUnsafe,
       {Answered(502)},
       exit_code::kOutcomeUnknown,
       1},
      {"lost, then accepted", repetition::kSafe, {Lost(), Answered(200)}, exit_code::kOk, 2},
      {"lost, then unreachable", repetition::kSafe, {Lost()}, exit_code::kOutcomeUnknown, 8},
      {"accepted in the second round",
       repetition::kSafe,
       {Answered(504, "may-have-run"), NotSent(), Answered(200)},
       exit_code::kOk,
       3},
      {"lost, then in conflict",
       repetition::kSafe,
       {Lost(), Answered(409, "not-run")},
       exit_code::kRefused,
       2},
      {"lost, then outdated",
       repetition::kSafe,
       {Lost(), Answered(409, "not-run", kOutdated)},
       exit_code::kOutcomeUnknown,
       2},
      {"outdated",
       repetition::kSafe,
       {Answered(409, "not-run", kOutdated)},
       exit_code::kRefused,
       1},
      {"read, lost", repetition::kRead, {Lost(), Lost()}, exit_code::kUnreachable, 2},
      {"read, missing", repetition::kRead, {Answered(404, "not-run")}, exit_code::kRefused, 1},
  };
  for (const attempt_case& checked : cases) {
    INFO(checked.name);
    fake_transport transport(checked.answers);
    operators_client client(transport, {"a:1", "b:1"}, absl::Seconds(1), absl::ZeroDuration());
    CHECK(client.Send("POST", "/x", "{}", checked.allowed).code == checked.code);
    CHECK(transport.sent.size() == checked.sent);
  }
}

// Guards against member ids that lose bits, and against a status that is shown incompletely.
TEST_CASE("documents of the operators' port are decoded") {
  const auto decoded = Capture<status_report>([] {
    return DecodeStatus(R"({"daemonId":"d1","manifestVersion":7,"fresh":true,"newField":[1],
      "target":{"service":"orders","slots":4,"draining":true,"incarnation":"9"},
      "directory":[{"daemonId":"d2","service":"orders","slots":3},{"daemonId":"d3"}],
      "control":{"role":"leader","term":"3","leaderAddress":"a:1",
        "members":[{"memberId":"18446744073709551615","address":"a:1","voter":true}]}})");
  });
  REQUIRE(decoded.index() == 0);
  const status_report& status = std::get<0>(decoded);
  CHECK(status.manifest_version == 7);
  CHECK(status.fresh);
  REQUIRE(status.daemon.target.has_value());
  CHECK(status.daemon.target->incarnation == 9);
  REQUIRE(status.directory.size() == 2);
  CHECK_FALSE(status.directory[1].target.has_value());
  CHECK(status.role == member_role::kLeader);
  REQUIRE(status.members.size() == 1);
  CHECK(status.members[0].member_id == 18446744073709551615U);
  CHECK(EncodeMemberChange({"promote", 18446744073709551615U, "", ""}) ==
        R"({"action":"promote","memberId":"18446744073709551615"})");
  CHECK(Capture<status_report>([] { return DecodeStatus("{\"daemonId\":"); }).index() == 1);
  const auto without = Capture<status_report>(
      [] { return DecodeStatus(R"({"daemonId":"d","target":null,"control":null})"); });
  REQUIRE(without.index() == 0);
  CHECK_FALSE(std::get<0>(without).daemon.target.has_value());
  CHECK_FALSE(std::get<0>(without).control);
  CHECK(DecodeProblem("<html>").title.empty());
}

}  // namespace teaseljunction
