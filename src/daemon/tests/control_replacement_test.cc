#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "daemon/daemon.h"
#include "daemon/tests/wait_until.h"
#include "http/tests/raw_socket.h"

namespace teaseljunction {
namespace {

constexpr size_t kVoters = 3;
constexpr int kMaxBuildAttempts = 10;

/// Daemons of a control group of three voters, each with a directory of its own.
class control_group {
 public:
  control_group()
      : directory_(std::filesystem::temp_directory_path() /
                   absl::StrCat("control-replacement-test-", getpid())) {
    // Another process can take an unused port before a daemon does.
    for (int i = 0; daemons_.size() < kVoters && i < kMaxBuildAttempts; ++i) {
      std::filesystem::remove_all(directory_);
      daemons_.clear();
      peers_.clear();
      for (size_t number = 0; number < kVoters; ++number) peers_.push_back(UnusedAddress());
      for (const std::string& address : peers_) {
        if (auto daemon = TryBuild(address, true)) daemons_.push_back(std::move(daemon));
      }
    }
    REQUIRE(daemons_.size() == kVoters);
    for (const auto& daemon : daemons_) daemon->Start();
    REQUIRE(WaitUntil([this] { return CountMembers(0, true) == kVoters && HasLeader(0); }));
  }

  ~control_group() {
    daemons_.clear();
    std::filesystem::remove_all(directory_);
  }

  /// Starts a daemon that joins the group, and waits until it receives the log.
  void AddSpare() {
    std::unique_ptr<daemon_process> spare;
    for (int i = 0; spare == nullptr && i < kMaxBuildAttempts; ++i) {
      spare = TryBuild(UnusedAddress(), false);
    }
    REQUIRE(spare != nullptr);
    spare->Start();
    daemons_.push_back(std::move(spare));
    REQUIRE(WaitUntil([this] { return CountMembers(0, false) == 1; }));
  }

  /// Runs a daemon until its planned shutdown has ended.
  bool Stop(size_t number) {
    daemons_[number]->RequestStop();
    return daemons_[number]->Run();
  }

  /// Returns the leader, which must be one of these daemons.
  size_t Leader(const std::vector<size_t>& candidates) {
    size_t leader = daemons_.size();
    REQUIRE(WaitUntil([&] {
      for (const size_t number : candidates) {
        if (Status(number).role == member_role::kLeader) leader = number;
      }
      return leader < daemons_.size();
    }));
    return leader;
  }

  status_report Status(size_t number) { return daemons_[number]->Components().node.Status(); }

  size_t CountMembers(size_t number, bool voters) {
    const status_report status = Status(number);
    return static_cast<size_t>(std::count_if(
        status.control_members.begin(), status.control_members.end(),
        [voters](const control_member_info& member) { return member.voter == voters; }));
  }

  bool HasLeader(size_t number) { return !Status(number).leader_address.empty(); }

  bool IsMember(size_t of, size_t number) {
    const status_report status = Status(of);
    return std::any_of(
        status.control_members.begin(), status.control_members.end(),
        [&](const control_member_info& member) { return member.address == peers_[number]; });
  }

 private:
  std::unique_ptr<daemon_process> TryBuild(const std::string& address, bool bootstrap) {
    daemon_settings settings;
    settings.listen = UnusedAddress();
    settings.operators_listen = UnusedAddress();
    settings.rpc_listen = address;
    settings.data_centre = "dc1";
    settings.daemon_id = absl::StrCat("daemon-", address);
    settings.control = true;
    settings.data_dir = (directory_ / address).string();
    settings.control_peers = peers_;
    settings.allow_bootstrap = bootstrap;
    settings.control_voters = kVoters;
    settings.durable_copies = 2;
    settings.freshness_lease = absl::Seconds(5);
    settings.drain_delay = absl::ZeroDuration();
    settings.drain_timeout = absl::Minutes(5);
    settings.max_body_bytes = size_t{1} << 20;
    auto built = Capture<std::unique_ptr<daemon_process>>(
        [&] { return daemon_builder().WithSettings(settings).Build(); });
    return built.index() == 0 ? std::get<0>(std::move(built)) : nullptr;
  }

  const std::filesystem::path directory_;
  std::vector<std::string> peers_;
  std::vector<std::unique_ptr<daemon_process>> daemons_;
};

}  // namespace

// Guards against review case 1 (issue 33): a member that leaves while the group still counts it.
TEST_CASE("a control member leaves once its successor has taken its place") {
  control_group group;
  group.AddSpare();
  CHECK(group.Stop(2));
  const size_t leader = group.Leader({0, 1, 3});
  CHECK_FALSE(group.IsMember(leader, 2));
  CHECK(group.CountMembers(leader, true) == kVoters);
}

// Guards against a restart that takes as long as the drain timeout.
TEST_CASE("a control member without a successor leaves at once") {
  control_group group;
  auto stopped = std::async(std::launch::async, [&] { return group.Stop(2); });
  REQUIRE(stopped.wait_for(std::chrono::seconds(60)) == std::future_status::ready);
  CHECK(stopped.get());
  CHECK(group.IsMember(0, 2));
}

}  // namespace teaseljunction
