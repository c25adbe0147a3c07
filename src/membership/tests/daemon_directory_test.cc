#include "membership/daemon_directory.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "membership/directory_view.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(250);
constexpr int kDaemonCount = 12;

daemon_announcement Daemon(std::string id, uint64_t incarnation) {
  daemon_announcement daemon;
  daemon.daemon_id = std::move(id);
  daemon.incarnation = incarnation;
  daemon.target = target_announcement{"stock", 1, 10, false, 0, ""};
  return daemon;
}

/// Simulates daemons, a changing leader and the directory view of one daemon. Messages in both
/// directions are lost, duplicated and delayed.
class directory_simulation {
 public:
  explicit directory_simulation(uint64_t seed) : random_(seed) {
    leader_.StartTerm(++epoch_, now_);
  }

  void Step(bool faults) {
    faults_ = faults;
    now_ += kStep;
    if (Fault(100)) leader_.StartTerm(++epoch_, now_);
    for (int i = 0; i < kDaemonCount; ++i) StepDaemon("daemon-" + std::to_string(i));
    leader_.Expire(now_);
    SendUpdate();
    DeliverUpdates();
    CheckView();
  }

  std::map<std::string, uint64_t> Running() const { return running_; }

  std::map<std::string, uint64_t> Seen() const {
    std::map<std::string, uint64_t> seen;
    for (const daemon_announcement& daemon : view_.Entries()) {
      seen[daemon.daemon_id] = daemon.incarnation;
    }
    return seen;
  }

 private:
  bool Fault(uint64_t one_in) { return faults_ && random_() % one_in == 0; }

  void StepDaemon(const std::string& id) {
    if (Fault(80)) running_.erase(id);
    if (running_.count(id) == 0 && Fault(20)) running_[id] = ++last_incarnation_;
    if (running_.count(id) == 0) return;
    if (!Fault(8)) leader_.Heartbeat(Daemon(id, running_[id]), now_);
    // A delayed heartbeat of an earlier process.
    if (Fault(10)) leader_.Heartbeat(Daemon(id, random_() % running_[id]), now_);
  }

  void SendUpdate() {
    const directory_update update = leader_.ChangesSince(view_.Epoch(), view_.Version());
    const absl::Duration delay = faults_ ? kStep * static_cast<int>(random_() % 12) : kStep * 0;
    if (!Fault(4)) updates_.emplace(now_ + delay, update);
    if (Fault(4)) updates_.emplace(now_ + delay * 2, update);
  }

  void DeliverUpdates() {
    while (!updates_.empty() && updates_.begin()->first <= now_) {
      const std::pair<uint64_t, uint64_t> before(view_.Epoch(), view_.Version());
      view_.Apply(updates_.begin()->second);
      CHECK(std::pair(view_.Epoch(), view_.Version()) >= before);
      updates_.erase(updates_.begin());
    }
  }

  // A replaced process never reappears, and a running one never disappears after it was seen.
  void CheckView() {
    std::map<std::string, uint64_t> seen = Seen();
    for (const auto& [id, incarnation] : seen) {
      CHECK(incarnation >= highest_seen_[id]);
      highest_seen_[id] = incarnation;
    }
    for (const auto& [id, incarnation] : running_) {
      if (highest_seen_[id] == incarnation) CHECK(seen[id] == incarnation);
    }
  }

  std::mt19937_64 random_;
  bool faults_ = true;
  absl::Time now_ = absl::FromUnixSeconds(1000);
  uint64_t epoch_ = 0;
  uint64_t last_incarnation_ = 0;
  daemon_directory leader_;
  directory_view view_;
  std::map<std::string, uint64_t> running_;
  std::map<std::string, uint64_t> highest_seen_;
  std::multimap<absl::Time, directory_update> updates_;
};

}  // namespace

// Guards against a view that reverts to an earlier state, loses a running daemon or keeps one that
// has ended.
TEST_CASE("a view follows the directory through lost, duplicate and reordered updates") {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("reproduce: membership_test, seed " << seed);
    directory_simulation simulation(seed);
    for (int step = 0; step < 400; ++step) simulation.Step(true);
    for (int step = 0; step < 60; ++step) simulation.Step(false);
    CHECK(simulation.Seen() == simulation.Running());
  }
}

// Guards against a change of the leader that removes all targets, and against a daemon that ended
// together with the previous leader and is never removed.
TEST_CASE("daemons of the previous leader are kept until the new directory is settled") {
  const absl::Time start = absl::FromUnixSeconds(1000);
  daemon_directory first;
  first.StartTerm(1, start);
  for (const char* id : {"a", "b", "c"}) first.Heartbeat(Daemon(id, 1), start);
  directory_view view;
  CHECK(view.Apply(first.ChangesSince(0, 0)));
  daemon_directory second;
  second.StartTerm(2, start);
  second.Heartbeat(Daemon("a", 1), start);
  view.Apply(second.ChangesSince(view.Epoch(), view.Version()));
  CHECK(view.Size() == 3);
  CHECK_FALSE(view.Apply(first.ChangesSince(0, 0)));
  for (const char* id : {"a", "b"}) second.Heartbeat(Daemon(id, 1), start + absl::Seconds(2));
  CHECK_FALSE(second.Settled(start + absl::Seconds(2)));
  CHECK(second.Expire(start + absl::Seconds(3)) == 0);
  CHECK(second.Settled(start + absl::Seconds(3)));
  CHECK(view.Apply(second.ChangesSince(view.Epoch(), view.Version())));
  CHECK(view.Size() == 2);
}

// Guards against a directory that is sent to all daemons for each load report, and against a
// delayed heartbeat that reverts draining.
TEST_CASE("only changes that matter for routing create a version") {
  daemon_directory leader;
  absl::Time now = absl::FromUnixSeconds(1000);
  leader.StartTerm(1, now);
  daemon_announcement daemon = Daemon("a", 1);
  for (int second = 0; second < 600; ++second) {
    now += absl::Seconds(1);
    daemon.target->load = second % 2;
    daemon.target->warm_up_remaining = absl::Milliseconds(600 - second);
    daemon.manifest_version = static_cast<uint64_t>(second);
    leader.Heartbeat(daemon, now);
    CHECK(leader.Expire(now) == 0);
  }
  const uint64_t before = leader.Version();
  CHECK(before <= 11);
  for (const bool draining : {true, false}) {
    daemon.target->draining = draining;
    leader.Heartbeat(daemon, now);
    CHECK(leader.Version() == before + 1);
  }
}

// Guards against a daemon that misses changes that the leader no longer keeps.
TEST_CASE("a daemon that is far behind gets the whole directory") {
  daemon_directory leader;
  const absl::Time now = absl::FromUnixSeconds(1000);
  leader.StartTerm(7, now);
  for (uint64_t i = 1; i <= 10000; ++i) leader.Heartbeat(Daemon(std::to_string(i % 20), i), now);
  CHECK(leader.ChangesSince(7, 10).entries.size() == 20);
  CHECK(leader.ChangesSince(7, 10).full);
  CHECK(leader.ChangesSince(6, leader.Version()).full);
  CHECK(leader.ChangesSince(7, leader.Version() + 1).full);
  CHECK_FALSE(leader.ChangesSince(7, leader.Version() - 5).full);
  CHECK(leader.ChangesSince(7, leader.Version() - 5).entries.size() == 5);
  CHECK(leader.ChangesSince(7, leader.Version()).entries.empty());
  CHECK_FALSE(leader.Heartbeat(Daemon("1", 1), now));
}

// Guards against a daemon that is ignored for good because its clock was set back before it was
// restarted: the leader tells it which incarnation it has to exceed.
TEST_CASE("a daemon with an earlier incarnation can learn the known one") {
  daemon_directory leader;
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  leader.StartTerm(1, now);
  CHECK(leader.Heartbeat(Daemon("d1", 500), now));
  CHECK_FALSE(leader.Heartbeat(Daemon("d1", 400), now));
  CHECK(leader.KnownIncarnation("d1") == 500);
  CHECK(leader.KnownIncarnation("d2") == 0);
  CHECK(leader.Heartbeat(Daemon("d1", 501), now));
  REQUIRE(leader.Daemons().size() == 1);
  CHECK(leader.Daemons()[0].incarnation == 501);
}

}  // namespace teaseljunction
