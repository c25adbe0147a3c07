#include "control/control_member.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <future>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

namespace teaseljunction {
namespace {

constexpr int kMembers = 3;
// Bounds the time that a failing test waits.
constexpr int kMaxPolls = 3000;
constexpr absl::Duration kPollInterval = absl::Milliseconds(10);

/// Delivers messages between members of the same process.
class in_process_transport : public raft_transport {
 public:
  void Send(absl::string_view address, std::string message) override {
    const absl::MutexLock lock(&mutex_);
    const std::string key(address);
    const auto found = members_.find(key);
    const bool up = found != members_.end() && found->second != nullptr;
    if (up) found->second->Receive(std::move(message));
  }
  void SetMember(const std::string& address, control_member* member) {
    const absl::MutexLock lock(&mutex_);
    members_[address] = member;
  }

 private:
  absl::Mutex mutex_;
  std::map<std::string, control_member*> members_;
};

/// Counts elections and keeps the last manifest version.
class counting_observer : public control_observer {
 public:
  void OnLeadershipChange(bool leader, absl::Time) override { elections += leader ? 1 : 0; }
  void OnManifestApplied(std::shared_ptr<const manifest_record> manifest) override {
    version = manifest->version;
  }
  std::atomic<int> elections = 0;
  std::atomic<uint64_t> version = 0;
};

class in_process_group {
 public:
  in_process_group()
      : directory_(std::filesystem::temp_directory_path() /
                   absl::StrCat("control-member-test-", getpid())) {
    std::filesystem::remove_all(directory_);
    std::filesystem::create_directories(directory_);
  }
  ~in_process_group() {
    for (int i = 0; i < kMembers; ++i) Stop(i);
    std::filesystem::remove_all(directory_);
  }

  void Start(int number) {
    control_member_settings settings;
    settings.address = Address(number);
    settings.data_directory = directory_ / absl::StrCat("member", number);
    for (int i = 0; i < kMembers; ++i) settings.initial_voter_addresses.push_back(Address(i));
    control_member_builder builder;
    builder.WithSettings(settings).WithClock(clock_).WithRandom(random_).WithTransport(transport_);
    builder.WithObserver(observer);
    auto built = Capture<std::unique_ptr<control_member>>([&] { return builder.Build(); });
    REQUIRE(built.index() == 0);
    members_[number] = std::move(std::get<0>(built));
    transport_.SetMember(Address(number), members_[number].get());
  }

  void Stop(int number) {
    transport_.SetMember(Address(number), nullptr);
    members_[number].reset();
  }

  // Proposes the command to the leader until it is applied. Returns false on a timeout.
  bool ProposeUntilApplied(const command& value) {
    for (int poll = 0; poll < kMaxPolls; ++poll) {
      for (auto& [number, member] : members_) {
        if (!member || !member->HoldsLease(clock_.Now())) continue;
        auto answer = std::make_shared<std::promise<propose_response>>();
        member->Propose(
            value, [answer](propose_response response) { answer->set_value(std::move(response)); });
        if (answer->get_future().get().result.applied) return true;
      }
      absl::SleepFor(kPollInterval);
    }
    return false;
  }

  bool WaitForVersion(uint64_t version) {
    const auto has_version = [&](const auto& entry) {
      return entry.second->CurrentManifest()->version == version;
    };
    for (int poll = 0; poll < kMaxPolls; ++poll) {
      if (std::all_of(members_.begin(), members_.end(), has_version)) return true;
      absl::SleepFor(kPollInterval);
    }
    return false;
  }

  control_member& Member(int number) { return *members_[number]; }
  counting_observer observer;

  static std::string Address(int number) { return absl::StrCat("127.0.0.1:", 1000 + number); }

 private:
  std::filesystem::path directory_;
  system_clock_source clock_;
  system_random_source random_;
  in_process_transport transport_;
  std::map<int, std::unique_ptr<control_member>> members_;
};

}  // namespace

// Guards against faults between the thread, the journal and the replica that tests on virtual time
// cannot show, such as a lost wake-up or a completion that is never called.
TEST_CASE("three members accept commands and keep them across a restart") {
  in_process_group group;
  for (int i = 0; i < kMembers; ++i) group.Start(i);
  REQUIRE(group.ProposeUntilApplied(submit_manifest{5, "d", "content"}));
  REQUIRE(group.ProposeUntilApplied(quarantine_fingerprint{"print"}));
  CHECK(group.WaitForVersion(5));
  group.Stop(0);
  REQUIRE(group.ProposeUntilApplied(submit_manifest{6, "e", "content"}));
  for (int i = 0; i < kMembers; ++i) group.Stop(i);
  for (int i = 0; i < kMembers; ++i) group.Start(i);
  REQUIRE(group.ProposeUntilApplied(submit_manifest{6, "e", "content"}));
  CHECK(group.WaitForVersion(6));
  CHECK(group.observer.elections > 0);
  CHECK(group.observer.version == 6);
  for (int i = 0; i < kMembers; ++i) {
    CHECK(group.Member(i).Status().members.size() == kMembers);
    CHECK(group.Member(i).QuarantinedFrom(0) == std::vector<std::string>{"print"});
  }
}

// Guards against a member without a group that answers as a leader, and against a proposal that is
// never answered.
TEST_CASE("a member without a group refuses proposals at once") {
  in_process_group group;
  group.Start(0);
  std::promise<propose_response> answer;
  group.Member(0).Propose(quarantine_fingerprint{"print"}, [&](propose_response response) {
    answer.set_value(std::move(response));
  });
  const propose_response response = answer.get_future().get();
  CHECK_FALSE(response.from_leader);
  CHECK(response.result.failure.kind == error_kind::kNotLeader);
  const control_status status = group.Member(0).Status();
  CHECK(status.role == member_role::kLearner);
  REQUIRE(status.members.size() == 1);
  CHECK(status.members[0].member_id == status.member_id);
}

}  // namespace teaseljunction
