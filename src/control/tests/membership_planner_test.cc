#include "control/membership_planner.h"

#include <catch2/catch.hpp>

namespace teaseljunction {
namespace {

constexpr uint64_t kOwn = 1;

member_status Voter(uint64_t id) {
  return {id, "10.0.0." + std::to_string(id) + ":7000", "dc", true};
}

/// A group of five whose other members are heard each second.
struct group_of_five {
  group_of_five() {
    planner.StartTerm(now);
    for (uint64_t id = 1; id <= 5; ++id) members.push_back(Voter(id));
  }

  void Hear(uint64_t id, uint64_t host) {
    planner.Heard(id, "10.0.0." + std::to_string(host) + ":7000", "dc", now);
  }

  void Pass(absl::Duration time, std::initializer_list<uint64_t> alive) {
    const absl::Time end = now + time;
    while (now < end) {
      now += absl::Seconds(1);
      for (const uint64_t id : alive) Hear(id, id);
    }
  }

  absl::optional<command> Next() { return planner.Next(members, kOwn, now); }

  membership_planner planner{{.voters = 5}};
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  std::vector<member_status> members;
};

}  // namespace

TEST_CASE("a complete group stays as it is") {
  group_of_five group;
  group.Pass(absl::Seconds(30), {2, 3, 4, 5});
  CHECK_FALSE(group.Next());
}

TEST_CASE("waiting members are added until the group is complete, and learners are promoted") {
  group_of_five group;
  group.members.resize(3);
  group.Pass(absl::Seconds(1), {2, 3, 4, 5});
  const auto added = group.Next();
  REQUIRE(added);
  CHECK(std::get<add_learner>(*added).member_id == 4);
  group.members.push_back({4, "10.0.0.4:7000", "dc", false});
  group.Pass(absl::Seconds(1), {2, 3, 4, 5});
  const auto promoted = group.Next();
  REQUIRE(promoted);
  CHECK(std::get<promote>(*promoted).member_id == 4);
}

// Guards against a member that lost its disk and keeps its old vote in the group.
TEST_CASE("a member that comes back with an empty folder replaces its former self at once") {
  group_of_five group;
  group.Pass(absl::Seconds(5), {2, 3, 4, 5});
  group.now += absl::Milliseconds(500);
  group.Hear(99, 5);
  const auto removed = group.Next();
  REQUIRE(removed);
  CHECK(std::get<remove_member>(*removed).member_id == 5);
}

TEST_CASE("a silent member is replaced only when another one waits") {
  group_of_five group;
  group.Pass(absl::Seconds(30), {2, 3, 4});
  CHECK_FALSE(group.Next());
  group.Hear(77, 7);
  const auto removed = group.Next();
  REQUIRE(removed);
  CHECK(std::get<remove_member>(*removed).member_id == 5);
}

TEST_CASE("a member that was silent for a moment keeps its place") {
  group_of_five group;
  group.Pass(absl::Seconds(10), {2, 3, 4, 5});
  group.Pass(absl::Seconds(3), {2, 3, 4, 77});
  CHECK_FALSE(group.Next());
}

// Guards against a removal that leaves the group without a majority of live members.
TEST_CASE("no member is removed while the others that are alive have no majority") {
  group_of_five group;
  group.Pass(absl::Seconds(10), {2, 77});
  CHECK_FALSE(group.Next());
}

// A new leader has heard of nobody, which must not count as silence.
TEST_CASE("a new leader replaces nobody before it has waited") {
  group_of_five group;
  group.Pass(absl::Seconds(30), {2, 3, 4, 5});
  group.planner.StartTerm(group.now);
  group.Hear(77, 7);
  CHECK_FALSE(group.Next());
}

TEST_CASE("without a number of voters the membership is left to operators") {
  membership_planner planner({});
  planner.StartTerm(absl::UnixEpoch());
  planner.Heard(9, "10.0.0.9:7000", "dc", absl::UnixEpoch());
  CHECK_FALSE(planner.Next({Voter(1)}, kOwn, absl::UnixEpoch()));
}

}  // namespace teaseljunction
