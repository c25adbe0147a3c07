#include "control/membership_planner.h"

#include <catch2/catch.hpp>

namespace teaseljunction {
namespace {

constexpr uint64_t kOwnId = 1;

control_member_info Voter(uint64_t id) {
  return {id, "10.0.0." + std::to_string(id) + ":7000", "dc", true};
}

/// The leader of a group of five. `AdvanceTime` records a contact with each live member every
/// second.
struct group_of_five {
  group_of_five() {
    planner.StartTerm(now);
    for (uint64_t id = 1; id <= 5; ++id) members.push_back(Voter(id));
  }

  void HearFrom(uint64_t id, uint64_t host) {
    planner.RecordContact(id, "10.0.0." + std::to_string(host) + ":7000", "dc", now);
  }

  void AdvanceTime(absl::Duration time, std::initializer_list<uint64_t> alive) {
    const absl::Time end = now + time;
    while (now < end) {
      now += absl::Seconds(1);
      for (const uint64_t id : alive) HearFrom(id, id);
    }
  }

  absl::optional<command> Next() { return planner.NextChange(members, kOwnId, now); }

  membership_planner planner{{.desired_voters = 5}};
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  std::vector<control_member_info> members;
};

}  // namespace

TEST_CASE("a complete group is not changed") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(30), {2, 3, 4, 5});
  CHECK_FALSE(group.Next());
}

TEST_CASE("spare members are added until the group is complete, and learners are promoted") {
  group_of_five group;
  group.members.resize(3);
  group.AdvanceTime(absl::Seconds(1), {2, 3, 4, 5});
  const auto added = group.Next();
  REQUIRE(added);
  CHECK(std::get<add_learner>(*added).member_id == 4);
  group.members.push_back({4, "10.0.0.4:7000", "dc", false});
  group.AdvanceTime(absl::Seconds(1), {2, 3, 4, 5});
  const auto promoted = group.Next();
  REQUIRE(promoted);
  CHECK(std::get<promote_learner>(*promoted).member_id == 4);
}

// Guards against a member that lost its disk but whose former id remains a voter of the group.
TEST_CASE("a member that restarts with an empty directory replaces its former id at once") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(5), {2, 3, 4, 5});
  group.now += absl::Milliseconds(500);
  group.HearFrom(99, 5);
  const auto removed = group.Next();
  REQUIRE(removed);
  CHECK(std::get<remove_member>(*removed).member_id == 5);
}

TEST_CASE("a member without contact is replaced only when a spare member is available") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(30), {2, 3, 4});
  CHECK_FALSE(group.Next());
  group.HearFrom(77, 7);
  const auto removed = group.Next();
  REQUIRE(removed);
  CHECK(std::get<remove_member>(*removed).member_id == 5);
}

TEST_CASE("a member that was briefly without contact is not replaced") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(10), {2, 3, 4, 5});
  group.AdvanceTime(absl::Seconds(3), {2, 3, 4, 77});
  CHECK_FALSE(group.Next());
}

// Guards against a removal that leaves the group without a live majority.
TEST_CASE("no member is removed unless a majority of the remaining voters is alive") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(10), {2, 77});
  CHECK_FALSE(group.Next());
}

// Guards against a new leader that treats members as lost because it has had no contacts yet.
TEST_CASE("a new leader replaces no member before the replacement timeout") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(30), {2, 3, 4, 5});
  group.planner.StartTerm(group.now);
  group.HearFrom(77, 7);
  CHECK_FALSE(group.Next());
}

TEST_CASE("without a desired number of voters the planner makes no changes") {
  membership_planner planner({});
  planner.StartTerm(absl::UnixEpoch());
  planner.RecordContact(9, "10.0.0.9:7000", "dc", absl::UnixEpoch());
  CHECK_FALSE(planner.NextChange({Voter(1)}, kOwnId, absl::UnixEpoch()));
}

}  // namespace teaseljunction
