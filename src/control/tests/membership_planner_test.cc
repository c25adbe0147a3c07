#include "control/membership_planner.h"

#include <catch2/catch.hpp>

namespace teaseljunction {
namespace {

constexpr uint64_t kOwnId = 1;
const std::vector<uint64_t> kFirstFive = {1, 2, 3, 4, 5};

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

  void HearFrom(uint64_t id, uint64_t host, bool draining = false) {
    planner.RecordContact({id, "10.0.0." + std::to_string(host) + ":7000", "dc", draining}, now);
  }

  void AdvanceTime(absl::Duration time, std::initializer_list<uint64_t> alive) {
    const absl::Time end = now + time;
    while (now < end) {
      now += absl::Seconds(1);
      for (const uint64_t id : alive) HearFrom(id, id);
    }
  }

  absl::optional<command> Next() { return planner.NextChange(members, kOwnId, now); }

  /// Carries out all changes that are planned without more time between them than they need, and
  /// returns the ids of the voters.
  std::vector<uint64_t> CarryOutChanges() {
    const absl::Time start = now;
    while (now < start + absl::Seconds(1)) {
      if (const auto change = Next()) Apply(*change);
      now += absl::Milliseconds(100);
    }
    now = start;
    std::vector<uint64_t> voters;
    for (const control_member_info& member : members) {
      if (member.voter) voters.push_back(member.member_id);
    }
    return voters;
  }

  void Apply(const command& change) {
    changes.push_back(change);
    if (const auto* added = std::get_if<add_learner>(&change)) {
      members.push_back({added->member_id, added->address, added->data_centre, false});
    } else if (const auto* removed = std::get_if<remove_member>(&change)) {
      std::erase_if(members, [&](const control_member_info& member) {
        return member.member_id == removed->member_id;
      });
    } else {
      for (control_member_info& member : members) {
        if (member.member_id == std::get<promote_learner>(change).member_id) member.voter = true;
      }
    }
  }

  std::vector<command> changes;
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
  CHECK(group.CarryOutChanges() == kFirstFive);
  REQUIRE(group.changes.size() == 4);
  CHECK(std::get<add_learner>(group.changes[0]).member_id == 4);
  CHECK(std::get<add_learner>(group.changes[1]).member_id == 5);
  CHECK(std::get<promote_learner>(group.changes[2]).member_id == 4);
  CHECK(std::get<promote_learner>(group.changes[3]).member_id == 5);
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
  CHECK(group.CarryOutChanges() == std::vector<uint64_t>{1, 2, 3, 4, 77});
  // The member without contact is removed first: it only raises the size of the majority.
  REQUIRE(group.changes.size() == 3);
  CHECK(std::holds_alternative<add_learner>(group.changes[0]));
  CHECK(std::get<remove_member>(group.changes[1]).member_id == 5);
  CHECK(std::get<promote_learner>(group.changes[2]).member_id == 77);
}

TEST_CASE("a member that was briefly without contact is not replaced") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(10), {2, 3, 4, 5});
  group.AdvanceTime(absl::Seconds(3), {2, 3, 4, 77});
  CHECK(group.CarryOutChanges() == kFirstFive);
}

// Guards against a removal that leaves the group without a live majority.
TEST_CASE("no member is removed unless a majority of the remaining voters is alive") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(10), {2, 77});
  CHECK(group.CarryOutChanges() == kFirstFive);
}

// Guards against a new leader that treats members as lost because it has had no contacts yet.
TEST_CASE("a new leader replaces no member before the replacement timeout") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(30), {2, 3, 4, 5});
  group.planner.StartTerm(group.now);
  group.HearFrom(77, 7);
  CHECK(group.CarryOutChanges() == kFirstFive);
}

// Guards against review case 1: a member that leaves after its successor has arrived stays a voter
// until it has been without contact for the replacement timeout.
TEST_CASE("a draining member is removed once a spare member has become a voter") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(10), {2, 3, 4, 5, 77});
  CHECK(group.CarryOutChanges() == kFirstFive);
  group.HearFrom(5, 5, true);
  group.changes.clear();
  CHECK(group.CarryOutChanges() == std::vector<uint64_t>{1, 2, 3, 4, 77});
  REQUIRE(group.changes.size() == 2);
  CHECK(std::get<promote_learner>(group.changes[0]).member_id == 77);
  CHECK(std::get<remove_member>(group.changes[1]).member_id == 5);
}

// Guards against a group that is one voter short because a member leaves without a successor.
TEST_CASE("a draining member stays a voter while there is no spare member") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(10), {2, 3, 4, 5});
  group.HearFrom(5, 5, true);
  group.HearFrom(77, 7, true);
  CHECK(group.CarryOutChanges() == kFirstFive);
}

TEST_CASE("two draining members are replaced, also when one of them is the leader") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(10), {2, 3, 4, 5, 77, 78});
  group.HearFrom(kOwnId, 1, true);
  group.HearFrom(5, 5, true);
  CHECK(group.CarryOutChanges() == std::vector<uint64_t>{2, 3, 4, 77, 78});
}

// Guards against a group that keeps an even number of voters after a new leader has taken over in
// the middle of a replacement, and against the removal of a voter that is needed.
TEST_CASE("a new leader finishes a replacement that has begun") {
  group_of_five group;
  group.members.push_back(Voter(77));
  group.HearFrom(77, 77);
  CHECK(group.CarryOutChanges().size() == 6);
  for (const uint64_t id : {2, 3, 4}) group.HearFrom(id, id);
  group.HearFrom(5, 5, true);
  CHECK(group.CarryOutChanges() == std::vector<uint64_t>{1, 2, 3, 4, 77});
}

TEST_CASE("a promoted member that is lost is removed in place of the draining one") {
  group_of_five group;
  group.members.push_back(Voter(77));
  group.AdvanceTime(absl::Seconds(3), {2, 3, 4, 5});
  group.HearFrom(5, 5, true);
  CHECK(group.CarryOutChanges() == kFirstFive);
}

// Guards against a learner that never catches up and keeps the other spare members out.
TEST_CASE("learners take turns to be promoted") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(10), {2, 3, 4, 77, 78});
  group.members = {Voter(1), Voter(2), Voter(3), Voter(4)};
  group.Apply(add_learner{77, "10.0.0.77:7000", "dc"});
  group.Apply(add_learner{78, "10.0.0.78:7000", "dc"});
  const auto first = group.Next();
  group.now += absl::Milliseconds(100);
  const auto second = group.Next();
  REQUIRE(first);
  REQUIRE(second);
  CHECK(std::get<promote_learner>(*first).member_id == 77);
  CHECK(std::get<promote_learner>(*second).member_id == 78);
}

TEST_CASE("a learner without contact is removed and does not take the place of another one") {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(10), {2, 3, 4, 5, 77, 78, 79});
  CHECK(group.CarryOutChanges() == kFirstFive);
  CHECK(group.members.size() == 7);
  group.AdvanceTime(absl::Seconds(5), {2, 3, 4, 5, 78, 79});
  CHECK(group.CarryOutChanges() == kFirstFive);
  CHECK(group.members.size() == 7);
  CHECK(group.members.back().member_id == 79);
}

TEST_CASE("without a desired number of voters the planner makes no changes") {
  membership_planner planner({});
  planner.StartTerm(absl::UnixEpoch());
  planner.RecordContact({9, "10.0.0.9:7000", "dc", false}, absl::UnixEpoch());
  CHECK_FALSE(planner.NextChange({Voter(1)}, kOwnId, absl::UnixEpoch()));
}

namespace {

/// A group of five whose fifth voter has left heartbeats unanswered for `silence`, and the learner
/// 77. The time without contact alone is too short for a replacement.
group_of_five GroupWithLearner(absl::Duration silence, bool caught_up) {
  group_of_five group;
  group.AdvanceTime(absl::Seconds(10), {2, 3, 4, 5, 77});
  group.AdvanceTime(absl::Seconds(3), {2, 3, 4, 77});
  group.Apply(add_learner{77, "10.0.0.77:7000", "dc"});
  group.changes.clear();
  const std::vector<member_progress> progress = {{2, absl::ZeroDuration(), true},
                                                 {3, absl::ZeroDuration(), true},
                                                 {4, absl::ZeroDuration(), true},
                                                 {5, silence, true},
                                                 {77, absl::ZeroDuration(), caught_up}};
  group.planner.RecordProgress(progress);
  return group;
}

const absl::Duration kSilenceTimeout = membership_planner_settings().silence_timeout;

}  // namespace

// Guards against review case 6: a member that was removed without notice stays a voter until the
// replacement timeout, although its successor has caught up.
TEST_CASE("a voter that leaves heartbeats unanswered is replaced by a learner that has caught up") {
  group_of_five group = GroupWithLearner(kSilenceTimeout, true);
  CHECK(group.CarryOutChanges() == std::vector<uint64_t>{1, 2, 3, 4, 77});
  REQUIRE(group.changes.size() == 2);
  CHECK(std::get<remove_member>(group.changes[0]).member_id == 5);
  CHECK(std::get<promote_learner>(group.changes[1]).member_id == 77);
}

TEST_CASE("a voter that answers heartbeats in time is not replaced") {
  group_of_five group = GroupWithLearner(kSilenceTimeout - absl::Milliseconds(1), true);
  CHECK(group.CarryOutChanges() == kFirstFive);
}

// Guards against a removal for which no learner could be promoted.
TEST_CASE("a silent voter is not replaced by a learner that lags") {
  group_of_five group = GroupWithLearner(kSilenceTimeout, false);
  CHECK(group.CarryOutChanges() == kFirstFive);
}

// Guards against a voter that was replaced because of a short silence and stays out of the group.
TEST_CASE("a voter that was replaced too early comes back as a learner") {
  group_of_five group = GroupWithLearner(kSilenceTimeout, true);
  group.HearFrom(5, 5);
  CHECK(group.CarryOutChanges() == std::vector<uint64_t>{1, 2, 3, 4, 77});
  REQUIRE(group.changes.size() == 3);
  CHECK(std::get<add_learner>(group.changes[2]).member_id == 5);
}

}  // namespace teaseljunction
