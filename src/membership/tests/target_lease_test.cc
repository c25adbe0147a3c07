#include "membership/target_lease.h"

#include <catch2/catch.hpp>

namespace teaseljunction {
namespace {

target_announcement Target(uint64_t incarnation, bool draining = false) {
  target_announcement target;
  target.service = "stock";
  target.incarnation = incarnation;
  target.draining = draining;
  return target;
}

absl::Time At(double seconds) { return absl::FromUnixSeconds(1000) + absl::Seconds(seconds); }

}  // namespace

// Guards against a delayed announcement that restores a process which has ended or is draining.
TEST_CASE("only the latest incarnation renews the lease") {
  struct row {
    double time;
    uint64_t incarnation;
    bool draining;
    announce_result result;
    bool draining_afterwards;
  };
  const row rows[] = {
      {0, 5, false, announce_result::kJoined, false},
      {1, 5, false, announce_result::kRenewed, false},
      {2, 4, true, announce_result::kOutdated, false},
      {3, 5, true, announce_result::kRenewed, true},
      {4, 5, false, announce_result::kRenewed, true},
      {5, 6, false, announce_result::kReplaced, false},
      {6, 5, false, announce_result::kOutdated, false},
      {9.5, 6, false, announce_result::kJoined, false},
      {20, 5, false, announce_result::kOutdated, false},
      {20, 7, false, announce_result::kJoined, false},
  };
  target_lease lease;
  for (const row& step : rows) {
    INFO("at " << step.time);
    CHECK(lease.Announce(Target(step.incarnation, step.draining), At(step.time)) == step.result);
    const auto current = lease.Current(At(step.time));
    if (current) CHECK(current->draining == step.draining_afterwards);
  }
  CHECK(lease.Current(At(22.9))->incarnation == 7);
  CHECK_FALSE(lease.Current(At(23)));
  CHECK_FALSE(lease.Expire(At(22.9)));
  CHECK(lease.Expire(At(23)));
  CHECK_FALSE(lease.Expire(At(24)));
}

// Guards against one announcement with a wrong incarnation, from another writer or before a clock
// was set back, that shuts out the running target for good.
TEST_CASE("a target that keeps announcing itself replaces a later incarnation that fell silent") {
  const uint64_t wrong = (uint64_t{1} << 53) - 1;
  for (const bool withdraws : {false, true}) {
    CAPTURE(withdraws);
    target_lease lease;
    lease.Announce(Target(5), At(0));
    lease.Announce(Target(wrong, true), At(0.5));
    if (withdraws) lease.Withdraw(wrong);
    double time = 1;
    while (time < 20 && lease.Announce(Target(5), At(time)) == announce_result::kOutdated) ++time;
    CHECK(time >= 6);
    CHECK(time <= 8);
    REQUIRE(lease.Current(At(time)));
    CHECK(lease.Current(At(time))->incarnation == 5);
    CHECK_FALSE(lease.Current(At(time))->draining);
    CHECK(lease.Announce(Target(wrong), At(time)) == announce_result::kOutdated);
    CHECK(lease.Announce(Target(5), At(time + 1)) == announce_result::kRenewed);
    CHECK(lease.Announce(Target(6), At(time + 2)) == announce_result::kReplaced);
  }
}

// Guards against late announcements of an ended process that replace its successor.
TEST_CASE("late announcements do not replace a later incarnation") {
  target_lease renewed;
  renewed.Announce(Target(6), At(0));
  for (double time = 1; time < 30; ++time) {
    CHECK(renewed.Announce(Target(5), At(time)) == announce_result::kOutdated);
    CHECK(renewed.Announce(Target(6), At(time)) == announce_result::kRenewed);
  }
  target_lease expired;
  expired.Announce(Target(6), At(0));
  for (const double time : {1.0, 2.0, 4.0, 5.0, 9.0, 13.0, 17.0, 20.5, 21.0}) {
    CAPTURE(time);
    CHECK(expired.Announce(Target(5), At(time)) == announce_result::kOutdated);
  }
}

// Guards against new requests for a target that is draining or has withdrawn.
TEST_CASE("draining and withdrawal are permanent for the incarnation") {
  target_lease lease;
  lease.Announce(Target(5), At(0));
  CHECK_FALSE(lease.Drain(4, At(0)));
  CHECK(lease.Drain(5, At(0)));
  lease.Announce(Target(5), At(1));
  CHECK(lease.Current(At(1))->draining);
  CHECK_FALSE(lease.Withdraw(4));
  CHECK(lease.Withdraw(5));
  CHECK(lease.Announce(Target(5), At(1)) == announce_result::kOutdated);
  CHECK_FALSE(lease.Current(At(1)));
  CHECK(lease.Announce(Target(6), At(1)) == announce_result::kJoined);
  CHECK_FALSE(lease.Current(At(1))->draining);
}

// Guards against a probe that restores a target which has drained, withdrawn or been replaced, and
// against a target that is used for long although it is known only from a probe.
TEST_CASE("a probed target is adopted only until a target has announced itself") {
  target_announcement probed = Target(0);
  probed.target_id = "i-1";
  target_announcement announced = Target(5);
  announced.target_id = "i-1";
  target_lease lease;
  CHECK(lease.AcceptProbedTarget(probed, At(0)));
  CHECK_FALSE(lease.AcceptProbedTarget(probed, At(0.5)));
  CHECK(lease.Current(At(1.9)));
  CHECK_FALSE(lease.Current(At(2)));
  CHECK(lease.AcceptProbedTarget(probed, At(2)));
  CHECK(lease.Announce(announced, At(3)) == announce_result::kRenewed);
  CHECK(lease.Current(At(5.9))->incarnation == 5);
  CHECK_FALSE(lease.AcceptProbedTarget(probed, At(7)));

  target_lease replaced;
  CHECK(replaced.AcceptProbedTarget(probed, At(0)));
  announced.target_id = "i-2";
  CHECK(replaced.Announce(announced, At(1)) == announce_result::kReplaced);

  target_lease drained;
  CHECK(drained.AcceptProbedTarget(probed, At(0)));
  CHECK(drained.Drain(0, At(0)));
  CHECK(drained.Current(At(1))->draining);

  target_lease withdrawn;
  withdrawn.Withdraw(0);
  CHECK_FALSE(withdrawn.AcceptProbedTarget(probed, At(0)));
}

namespace {

target_announcement Named(const char* id, uint64_t incarnation, bool draining = false) {
  target_announcement target = Target(incarnation, draining);
  target.target_id = id;
  return target;
}

target_lease RestartedLease() {
  target_lease lease;
  lease.RequireConfirmation();
  return lease;
}

}  // namespace

// Guards against review case 9 (issue 48): after a restart of the daemon, an announcement that was
// delayed brings a target back that has left.
TEST_CASE("the first announcement is used once a health check has found its target") {
  target_lease lease = RestartedLease();
  CHECK(lease.Announce(Named("a", 5), At(0)) == announce_result::kUnconfirmed);
  CHECK_FALSE(lease.Current(At(0)));
  CHECK(lease.AwaitsConfirmation(At(0)));
  CHECK_FALSE(lease.Confirm("b", lease.Revocations(), At(0)));
  CHECK_FALSE(lease.Current(At(0)));
  CHECK(lease.Confirm("a", lease.Revocations(), At(1)));
  REQUIRE(lease.Current(At(1)));
  CHECK(lease.Current(At(1))->incarnation == 5);
  CHECK(lease.Announce(Named("a", 5), At(2)) == announce_result::kRenewed);
  // The order of the announcements is known from now on.
  CHECK(lease.Announce(Named("b", 6), At(3)) == announce_result::kReplaced);
  CHECK(lease.Announce(Named("a", 5), At(4)) == announce_result::kOutdated);
}

TEST_CASE("a target that was found already is used with its first announcement") {
  target_lease lease = RestartedLease();
  CHECK_FALSE(lease.Confirm("a", lease.Revocations(), At(0)));
  CHECK(lease.Announce(Named("a", 5), At(1.5)) == announce_result::kJoined);
}

// Guards against a health check whose response was on its way while the target left.
TEST_CASE("a health check that was sent before a withdrawal confirms nothing") {
  target_lease lease = RestartedLease();
  const uint64_t revocations = lease.Revocations();
  CHECK(lease.Withdraw(0));
  CHECK(lease.Announce(Named("a", 5), At(1)) == announce_result::kUnconfirmed);
  CHECK_FALSE(lease.Confirm("a", revocations, At(1)));
  CHECK_FALSE(lease.Current(At(1)));
  CHECK(lease.Confirm("a", lease.Revocations(), At(1)));
}

// Guards against review case 9 with the withdrawal after the restart: the daemon knows the target
// from a probe only, so it does not know which process has withdrawn.
TEST_CASE("a target that was adopted and has withdrawn is not brought back") {
  target_lease lease = RestartedLease();
  target_announcement probed = Named("a", 0);
  CHECK_FALSE(lease.Confirm("a", lease.Revocations(), At(0)));
  CHECK(lease.AcceptProbedTarget(probed, At(0)));
  CHECK(lease.Drain(0, At(0.5)));
  CHECK(lease.Announce(Named("a", 5), At(1)) == announce_result::kUnconfirmed);
  CHECK(lease.Current(At(1))->draining);
  CHECK_FALSE(lease.Current(At(2)));
}

// Guards against a drain whose time starts anew with each restart of the daemon.
TEST_CASE("a target that first announces that it is draining gets no calls") {
  target_lease lease = RestartedLease();
  CHECK(lease.Announce(Named("a", 5, true), At(0)) == announce_result::kUnconfirmed);
  CHECK_FALSE(lease.Current(At(0)));
  CHECK(lease.Announce(Named("a", 5), At(1)) == announce_result::kOutdated);
  CHECK_FALSE(lease.Confirm("a", lease.Revocations(), At(1)));
  CHECK_FALSE(lease.Current(At(1)));
  // Its successor is found as usual.
  CHECK(lease.Announce(Named("b", 6), At(2)) == announce_result::kUnconfirmed);
  CHECK(lease.Confirm("b", lease.Revocations(), At(2)));
}

// Guards against a delayed drain of an earlier target that ends the present one.
TEST_CASE("a delayed drain of another target does not end an adopted one") {
  target_lease lease = RestartedLease();
  CHECK_FALSE(lease.Confirm("b", lease.Revocations(), At(0)));
  CHECK(lease.AcceptProbedTarget(Named("b", 0), At(0)));
  CHECK(lease.Announce(Named("a", 5, true), At(0.5)) == announce_result::kUnconfirmed);
  CHECK_FALSE(lease.Current(At(0.5))->draining);
  CHECK(lease.Announce(Named("b", 6), At(1)) == announce_result::kRenewed);
}

// Guards against a sound target that is refused for good because its health cannot be checked.
TEST_CASE("announcements that keep arriving need no health check after two leases") {
  target_lease lease = RestartedLease();
  for (double time = 0; time < 6; time += 1.5) {
    CHECK(lease.Announce(Named("a", 5), At(time)) == announce_result::kUnconfirmed);
  }
  CHECK(lease.Announce(Named("a", 5), At(6)) == announce_result::kJoined);
  target_lease waived = RestartedLease();
  CHECK(waived.Announce(Named("a", 5), At(0)) == announce_result::kUnconfirmed);
  CHECK(waived.WaiveConfirmation(At(0)));
  CHECK(waived.Current(At(0)));
}

// Guards against a delayed announcement of an earlier process that takes the place of a later one.
TEST_CASE("of several unconfirmed processes the latest one waits") {
  target_lease lease = RestartedLease();
  CHECK(lease.Announce(Named("a", 7), At(0)) == announce_result::kUnconfirmed);
  CHECK(lease.Announce(Named("a", 5), At(1)) == announce_result::kUnconfirmed);
  CHECK(lease.Confirm("a", lease.Revocations(), At(1)));
  CHECK(lease.Current(At(1))->incarnation == 7);
}

}  // namespace teaseljunction
