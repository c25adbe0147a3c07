#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/internal/member_core.h"
#include "control/tests/mocks/memory_file_system.h"

namespace teaseljunction {

/// Thrown when an invariant is violated.
struct invariant_violation {
  std::string what;
};

/// Faults of the link between all members.
struct link_faults {
  double loss = 0;
  double duplication = 0;
  absl::Duration max_delay = absl::Milliseconds(3);
};

/// A control group on virtual time, with an in-memory link and in-memory disks. After each batch of
/// a member it checks: one leader per term; equal committed records; no lease held by two members;
/// no accepted command lost; no claim granted to two attempts; no older manifest at a leader.
class test_group {
 public:
  test_group(int size, uint64_t seed);
  ~test_group();

  /// Advances the time. Clients submit random commands as long as `load` is set.
  void Run(absl::Duration duration);
  /// Runs until the condition holds. Throws when it does not within a minute of virtual time.
  void RunUntil(const std::string& what, const std::function<bool()>& condition);

  void Kill(int node);
  void Restart(int node);
  /// Kills a member within one of its next batches, during storage or between two messages.
  void KillWithinBatch(int node);
  /// Replaces a killed member's disk by an empty one.
  void LoseFolder(int node);
  void Freeze(int node, absl::Duration duration);
  void Block(int from, int to, bool blocked);
  void Isolate(int node, bool incoming, bool outgoing);
  /// Ends all faults and restarts what is down, except for `lost`.
  void Heal(const std::set<int>& lost = {});

  /// Proposes through the leader until the command is applied.
  void Must(const command& value);
  /// Proposes through the leader without waiting.
  void ProposeAtLeader(const command& value);
  /// Proposes once through the leader and returns the result.
  command_result Ask(const command& value);
  /// Adds the member of a node as a voter and removes the one it replaces.
  void Replace(int node, uint64_t old_member);
  /// Requires that all members that are up accept a change and hold the same state.
  void CheckProgress();

  int Size() const { return static_cast<int>(nodes_.size()); }
  /// The member that holds the lease, or -1.
  int Leader() const;
  member_core* Core(int node) { return nodes_[static_cast<size_t>(node)].core.get(); }
  memory_file_system& Disk(int node) { return *nodes_[static_cast<size_t>(node)].disk; }
  uint64_t MemberId(int node) { return Core(node)->View().status.member_id; }
  int RandomNode() { return static_cast<int>(random_.Below(nodes_.size())); }
  seeded_random_source& Random() { return random_; }

  link_faults faults;
  bool load = true;

 private:
  struct node_state : raft_transport {
    void Send(absl::string_view address, std::string message) override;
    test_group* group = nullptr;
    int number = 0;
    std::unique_ptr<memory_file_system> disk;
    std::unique_ptr<file_journal> journal;
    std::unique_ptr<seeded_random_source> random;
    std::unique_ptr<member_core> core;
    double clock_rate = 1;
    absl::Duration clock_offset;
    absl::Time frozen_until = absl::InfinitePast();
    // Messages that may be sent before the process is killed.
    uint64_t sends_left = UINT64_MAX;
    bool kill_on_disk_fault = false;
    std::vector<std::string> inbox;
    std::set<int> blocked_from;
    uint64_t checked_index = 0;
  };
  struct link_message {
    int to;
    std::string bytes;
  };
  struct committed_record {
    uint64_t term;
    std::string data;
  };

  absl::Time LocalTime(const node_state& node) const;
  void Deliver(int from, absl::string_view address, const std::string& message);
  void RunBatch(node_state& node);
  void Submit();
  void Propose(int node, command value, proposal_completion completion);
  void SubmitManifest(int node);
  void SubmitClaim(int node);
  void CheckNode(node_state& node);
  void CheckLeases();
  [[noreturn]] static void Violated(const std::string& what) { throw invariant_violation{what}; }

  seeded_random_source random_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::vector<node_state> nodes_;
  std::multimap<absl::Time, link_message> link_;
  std::map<uint64_t, uint64_t> leader_of_term_;
  std::map<uint64_t, committed_record> committed_;
  std::set<std::string> committed_data_;
  uint64_t accepted_version_ = 0;
  uint64_t next_command_ = 1;
  std::map<std::string, std::string> claim_holder_;
};

}  // namespace teaseljunction
