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
  retry_safety safety;
  std::vector<transport_result> answers;
  exit_code code;
  size_t sent;
};

const std::string kOutdated = R"({"type":"manifest-outdated","title":"t","status":409})";

}  // namespace

// Guards against reporting a refusal for a request that may have been carried out, and against
// repeating a non-idempotent request.
TEST_CASE("exit codes and attempts follow the outcomes") {
  const std::vector<attempt_case> cases = {
      {"first server", retry_safety::kIdempotent, {Answered(200)}, exit_code::kOk, 1},
      {"second server", retry_safety::kIdempotent, {NotSent(), Answered(200)}, exit_code::kOk, 2},
      {"none reachable", retry_safety::kIdempotent, {}, exit_code::kUnreachable, 2},
      {"refused", retry_safety::kIdempotent, {Answered(409, "not-run")}, exit_code::kRefused, 1},
      {"not the leader",
       retry_safety::kNonIdempotent,
       {Answered(421, "not-run"), Answered(200)},
       exit_code::kOk,
       2},
      {"no quorum anywhere",
       retry_safety::kNonIdempotent,
       {Answered(503, "not-run"), Answered(503, "not-run")},
       exit_code::kRefused,
       2},
      {"response lost, non-idempotent",
       retry_safety::kNonIdempotent,
       {UnknownDelivery()},
       exit_code::kOutcomeUnknown,
       1},
      {"commit unknown, non-idempotent",
       retry_safety::kNonIdempotent,
       {Answered(504, "may-have-run")},
       exit_code::kOutcomeUnknown,
       1},
      {"error without outcome",
       retry_safety::kNonIdempotent,
       {Answered(502)},
       exit_code::kOutcomeUnknown,
       1},
      {"response lost, then accepted",
       retry_safety::kIdempotent,
       {UnknownDelivery(), Answered(200)},
       exit_code::kOk,
       2},
      {"response lost, then unreachable",
       retry_safety::kIdempotent,
       {UnknownDelivery()},
       exit_code::kOutcomeUnknown,
       8},
      {"accepted in the second round",
       retry_safety::kIdempotent,
       {Answered(504, "may-have-run"), NotSent(), Answered(200)},
       exit_code::kOk,
       3},
      {"response lost, then in conflict",
       retry_safety::kIdempotent,
       {UnknownDelivery(), Answered(409, "not-run")},
       exit_code::kRefused,
       2},
      {"response lost, then outdated",
       retry_safety::kIdempotent,
       {UnknownDelivery(), Answered(409, "not-run", kOutdated)},
       exit_code::kOutcomeUnknown,
       2},
      {"outdated",
       retry_safety::kIdempotent,
       {Answered(409, "not-run", kOutdated)},
       exit_code::kRefused,
       1},
      {"read, response lost",
       retry_safety::kReadOnly,
       {UnknownDelivery(), UnknownDelivery()},
       exit_code::kUnreachable,
       2},
      {"read, missing",
       retry_safety::kReadOnly,
       {Answered(404, "not-run")},
       exit_code::kRefused,
       1},
  };
  for (const attempt_case& test_case : cases) {
    INFO(test_case.name);
    fake_transport transport(test_case.answers);
    operators_client client(transport, {"a:1", "b:1"}, absl::Seconds(1), absl::ZeroDuration());
    CHECK(client.Send("POST", "/x", "{}", test_case.safety).code == test_case.code);
    CHECK(transport.sent.size() == test_case.sent);
  }
}

// Guards against 64-bit member ids that lose precision, and against status fields that are dropped.
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
  CHECK(status.configuration_fresh);
  REQUIRE(status.daemon.target.has_value());
  CHECK(status.daemon.target->incarnation == 9);
  REQUIRE(status.directory.size() == 2);
  CHECK_FALSE(status.directory[1].target.has_value());
  CHECK(status.role == member_role::kLeader);
  REQUIRE(status.control_members.size() == 1);
  CHECK(status.control_members[0].member_id == 18446744073709551615U);
  CHECK(EncodeMemberChange({"promote", 18446744073709551615U, "", ""}) ==
        R"({"action":"promote","memberId":"18446744073709551615"})");
  CHECK(Capture<status_report>([] { return DecodeStatus("{\"daemonId\":"); }).index() == 1);
  const auto without = Capture<status_report>(
      [] { return DecodeStatus(R"({"daemonId":"d","target":null,"control":null})"); });
  REQUIRE(without.index() == 0);
  CHECK_FALSE(std::get<0>(without).daemon.target.has_value());
  CHECK_FALSE(std::get<0>(without).is_control_member);
  CHECK(DecodeProblem("<html>").title.empty());
}

}  // namespace teaseljunction
