#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/types/optional.h"
#include "control/internal/member_core.h"
#include "control/membership_planner.h"
#include "control/tests/mocks/memory_file_system.h"

namespace teaseljunction {

/// Thrown when an invariant is violated.
struct invariant_violation {
  std::string what;
};

/// Faults of the network between the members. `loss` and `duplication` are probabilities.
struct network_faults {
  double loss = 0;
  double duplication = 0;
  absl::Duration max_delay = absl::Milliseconds(3);
};

/// A control group on virtual time, with an in-memory network and in-memory disks. While it runs,
/// it checks: at most one leader per term; equal committed records; no lease held by two members;
/// no accepted command lost; no claim granted to two attempts; no outdated manifest at a leader
/// with a lease; after a disk fault, no message that depends on data that a power loss would
/// remove.
class simulated_group {
 public:
  /// `spares` is the number of further nodes, which are started with `Restart` and then join the
  /// group as new members. `min_durable_copies` is the setting of that name.
  simulated_group(int size, uint64_t seed, int spares = 0, uint64_t min_durable_copies = 1);
  ~simulated_group();

  /// Advances the time. Random commands are submitted while `generate_load` is set.
  void Run(absl::Duration duration);
  /// Runs until the condition holds. Throws if it does not hold within `max_wait` of virtual time.
  void RunUntil(const std::string& what, const std::function<bool()>& condition,
                absl::Duration max_wait = absl::Minutes(1));

  /// Lets the leader change the members by itself. Each member reports to the leader once a second.
  void EnablePlanner(const membership_planner_settings& settings) { planner_settings_ = settings; }
  /// Starts the planned shutdown of a member: after `min_duration` it ends as soon as the group
  /// does not need it, and after `max_duration` in any case. It does not come back.
  void Drain(int node, absl::Duration min_duration, absl::Duration max_duration);
  /// Ends a member that does not come back.
  void Depart(int node);
  /// Ids of the voters according to the leader. Empty without a leader.
  std::vector<uint64_t> Voters();

  /// Ends the process, or the host with its unsynced data.
  void Kill(int node);
  /// Ends the process only. Its disk keeps all data.
  void EndProcess(int node);
  void Restart(int node);
  /// Kills a member during one of its next disk operations or before one of its next messages.
  void KillWithinBatch(int node);
  /// Replaces the disk of a killed member by an empty one.
  void EraseDisk(int node);
  void Freeze(int node, absl::Duration duration);
  void Block(int from, int to, bool blocked);
  void Isolate(int node, bool incoming, bool outgoing);
  /// Ends all faults and restarts the members that are down, except for `lost`.
  void Recover(const std::set<int>& lost = {});

  /// Makes the disk of a member refuse all operations for a while, without a restart.
  void FillDisk(int node, absl::Duration duration);
  /// Requires that all members run without a failure.
  void CheckNoFailure();

  /// Proposes a command to the leader until it is applied.
  void ProposeUntilApplied(const command& value);
  /// Proposes a command to the leader without waiting for the result.
  void ProposeAtLeader(const command& value);
  /// Proposes a command to the leader once and returns the result.
  command_result ProposeAndWait(const command& value);
  /// Adds the member of a node as a voter and removes `old_member`.
  void Replace(int node, uint64_t old_member);
  /// Requires that a command is committed and that all members that are up reach the same state.
  void CheckProgress();

  int Size() const { return static_cast<int>(nodes_.size()); }
  /// The member that holds the lease, or -1.
  int Leader() const;
  member_core* Core(int node) { return nodes_[static_cast<size_t>(node)].core.get(); }
  memory_file_system& Disk(int node) { return *nodes_[static_cast<size_t>(node)].disk; }
  uint64_t MemberId(int node) { return Core(node)->View().status.member_id; }
  int RandomNode() { return static_cast<int>(random_.Below(nodes_.size())); }
  /// A node that has belonged to the group from the start.
  int RandomVoter() {
    return static_cast<int>(random_.Below(static_cast<uint64_t>(initial_voters_)));
  }
  seeded_random_source& Random() { return random_; }

  /// Largest size of the log in memory that any member had after a batch, in bytes.
  uint64_t MaxLogBytes() const { return max_log_bytes_; }

  network_faults faults;
  bool generate_load = true;

 private:
  struct node_state : raft_transport {
    void Send(absl::string_view address, std::string message) override;
    simulated_group* group = nullptr;
    int number = 0;
    std::unique_ptr<memory_file_system> disk;
    std::unique_ptr<file_journal> journal;
    std::unique_ptr<seeded_random_source> random;
    std::unique_ptr<member_core> core;
    double clock_rate = 1;
    absl::Duration clock_offset;
    absl::Time frozen_until = absl::InfinitePast();
    // Number of messages that the member sends before it is killed.
    uint64_t remaining_sends = UINT64_MAX;
    bool kill_on_disk_fault = false;
    std::vector<std::string> inbox;
    std::set<int> blocked_from;
    // Reports to the leader.
    absl::Time next_report = absl::InfinitePast();
    absl::optional<absl::Time> drain_end_min;
    absl::Time drain_end_max;
    bool started = false;
    bool departed = false;
    absl::optional<membership_planner> planner;
    uint64_t planner_term = 0;
    uint64_t checked_index = 0;
    // What a power loss would leave, as of an operation count of the disk.
    stored_log durable;
    uint64_t durable_as_of = 0;
  };
  struct in_flight_message {
    int to;
    std::string bytes;
  };
  struct committed_record {
    uint64_t term;
    std::string data;
  };

  absl::Time LocalTime(const node_state& node) const;
  void RunReports();
  void Report(node_state& from, node_state& leader);
  void PlanNextChange(node_state& leader);
  void EndDrainIfDue(node_state& node, const control_status& leader);
  void Deliver(int from, absl::string_view address, const std::string& message);
  void RunBatch(node_state& node);
  void SubmitRandomCommand();
  void Propose(int node, command value, proposal_completion completion);
  void SubmitManifest(int node);
  void SubmitClaim(int node);
  void CheckMember(node_state& node);
  static void CheckIsDurable(node_state& node, const std::string& message);
  void CheckLeases();
  [[noreturn]] static void FailInvariant(const std::string& what) {
    throw invariant_violation{what};
  }

  int initial_voters_;
  uint64_t min_durable_copies_;
  membership_planner_settings planner_settings_;
  // Time at which the leader next plans a change with its heartbeats.
  absl::Time next_plan_ = absl::InfinitePast();
  seeded_random_source random_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::vector<node_state> nodes_;
  std::multimap<absl::Time, in_flight_message> in_flight_messages_;
  std::map<uint64_t, uint64_t> leader_of_term_;
  std::map<uint64_t, committed_record> committed_;
  std::set<std::string> committed_data_;
  uint64_t max_log_bytes_ = 0;
  uint64_t accepted_version_ = 0;
  uint64_t next_command_ = 1;
  std::map<std::string, std::string> claim_holder_;
};

}  // namespace teaseljunction
