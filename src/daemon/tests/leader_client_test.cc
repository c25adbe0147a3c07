#include "daemon/leader_client.h"

#include <catch2/catch.hpp>

#include "gateway/tests/mocks/fake_dependencies.h"
#include "gateway/tests/mocks/virtual_scheduler.h"

namespace teaseljunction {
namespace {

// Answers each proposal with the next scripted response; the last one is repeated.
class scripted_peer_client : public fake_peer_client {
 public:
  void Propose(absl::string_view address, command, absl::Duration,
               absl::AnyInvocable<void(outcome<propose_response>)> completion) override {
    addresses.emplace_back(address);
    const outcome<propose_response> response = script.front();
    if (script.size() > 1) script.pop_front();
    completion(response);
  }

  std::deque<outcome<propose_response>> script;
  std::vector<std::string> addresses;
};

propose_response NotLeader(std::string leader) {
  propose_response response;
  response.leader_address = std::move(leader);
  return response;
}

propose_response Decided(command_result result) {
  propose_response response;
  response.from_leader = true;
  response.result = std::move(result);
  return response;
}

struct client_fixture {
  virtual_scheduler time;
  scripted_peer_client peers;
  leader_locator locator{{"a", "b", "c"}};
  leader_client client{time, time, peers, locator};
  absl::optional<outcome<command_result>> result;

  void Propose() {
    client.Propose(release_claim{}, time.Now() + absl::Seconds(2),
                   [this](outcome<command_result> decision) { result = std::move(decision); });
    time.AdvanceBy(absl::Seconds(3));
  }
};

}  // namespace

// Guards against a command that is abandoned, or sent to the same members again and again, when the
// leader changes.
TEST_CASE("a command follows the leader") {
  client_fixture fixture;
  fixture.peers.script = {error{error_kind::kPeerUnreachable, ""}, NotLeader("c"),
                          Decided({.applied = true})};
  fixture.Propose();
  REQUIRE(fixture.result);
  CHECK(std::get<command_result>(*fixture.result).applied);
  CHECK(fixture.peers.addresses == std::vector<std::string>{"a", "b", "c"});
}

// Guards against an error that says "not run" for a command that may have been committed.
TEST_CASE("the error says whether the command may have been committed") {
  struct error_case {
    outcome<propose_response> response;
    error_kind expected;
  };
  const std::vector<error_case> cases = {
      {error{error_kind::kPeerUnreachable, ""}, error_kind::kNoQuorum},
      {NotLeader(""), error_kind::kNoQuorum},
      {error{error_kind::kPeerLost, ""}, error_kind::kCommitUnknown},
      {error{error_kind::kDeadlineExceeded, ""}, error_kind::kCommitUnknown},
      {Decided({.applied = false, .failure = {error_kind::kCommitUnknown, ""}}),
       error_kind::kCommitUnknown},
  };
  for (const error_case& test_case : cases) {
    client_fixture fixture;
    fixture.peers.script = {test_case.response};
    fixture.Propose();
    REQUIRE(fixture.result);
    CHECK(std::get<error>(*fixture.result).kind == test_case.expected);
  }
}

// Guards against retries of a command that the leader has finally rejected.
TEST_CASE("a final rejection is returned without a retry") {
  client_fixture fixture;
  fixture.peers.script = {
      Decided({.applied = false, .failure = {error_kind::kManifestConflict, ""}})};
  fixture.Propose();
  REQUIRE(fixture.result);
  CHECK(std::get<command_result>(*fixture.result).failure.kind == error_kind::kManifestConflict);
  CHECK(fixture.peers.addresses.size() == 1);
}

}  // namespace teaseljunction
