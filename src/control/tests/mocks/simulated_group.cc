#include "control/tests/mocks/simulated_group.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "common/log.h"
#include "control/codec.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kTimeStep = absl::Milliseconds(5);
constexpr absl::Duration kReportInterval = absl::Seconds(1);
// A draining member asks more often whether the group still needs it.
constexpr absl::Duration kDrainReportInterval = absl::Milliseconds(100);
constexpr double kMaxClockDrift = 0.01;
constexpr size_t kMaxInboxMessages = 500;
constexpr absl::string_view kDataCentre = "centre";
constexpr size_t kMaxKeptDataBytes = 4096;

// Replaces large commands by their size and hash, so that many of them can be remembered.
std::string Shortened(const std::string& data) {
  if (data.size() <= kMaxKeptDataBytes) return data;
  return absl::StrCat("size ", data.size(), ", hash ", std::hash<std::string>()(data));
}

}  // namespace

simulated_group::simulated_group(int size, uint64_t seed, int spares, uint64_t min_durable_copies)
    : initial_voters_(size), min_durable_copies_(min_durable_copies), random_(seed) {
  ConfigureLog({"/dev/null", "error"});
  nodes_.resize(static_cast<size_t>(size) + static_cast<size_t>(spares));
  for (int i = 0; i < Size(); ++i) {
    node_state& node = nodes_[static_cast<size_t>(i)];
    node.group = this;
    node.number = i;
    node.clock_rate = 1 + kMaxClockDrift * (2 * random_.Fraction() - 1);
    node.clock_offset = absl::Hours(random_.Below(1000));
    node.disk = std::make_unique<memory_file_system>(random_.Next());
  }
  for (int i = 0; i < size; ++i) Restart(i);
}

simulated_group::~simulated_group() = default;

absl::Time simulated_group::LocalTime(const node_state& node) const {
  return absl::UnixEpoch() + node.clock_offset + (now_ - absl::UnixEpoch()) * node.clock_rate;
}

void simulated_group::Restart(int number) {
  node_state& node = nodes_[static_cast<size_t>(number)];
  if (node.core || node.departed) return;
  node.started = true;
  control_member_settings settings;
  settings.address = absl::StrCat(number);
  settings.data_centre = absl::StrCat(kDataCentre);
  for (int i = 0; i < initial_voters_ && number < initial_voters_; ++i) {
    settings.initial_voter_addresses.push_back(absl::StrCat(i));
  }
  settings.min_durable_copies = min_durable_copies_;
  settings.snapshot_after_records = 60;
  settings.retained_records = 200;
  node.journal = std::make_unique<file_journal>(*node.disk, "data");
  node.random = std::make_unique<seeded_random_source>(random_.Next());
  node.core = std::make_unique<member_core>(settings, *node.journal, *node.random, node, nullptr);
  node.checked_index = 0;
  const auto started = Capture<bool>([&]() -> result<bool> {
    BOOST_LEAF_CHECK(node.core->Start(LocalTime(node)));
    return true;
  });
  if (started.index() == 1) Kill(number);
}

void simulated_group::Kill(int number) {
  EndProcess(number);
  memory_file_system& disk = Disk(number);
  const bool only_process = !disk.HasLostData() && random_.Below(2) == 0;
  only_process ? disk.ClearFaults() : disk.Crash();
}

void simulated_group::EndProcess(int number) {
  node_state& node = nodes_[static_cast<size_t>(number)];
  node.core.reset();
  node.journal.reset();
  node.inbox.clear();
  node.planner_term = 0;
  node.next_report = absl::InfinitePast();
  node.remaining_sends = UINT64_MAX;
  node.kill_on_disk_fault = false;
  node.frozen_until = absl::InfinitePast();
}

void simulated_group::KillWithinBatch(int number) {
  node_state& node = nodes_[static_cast<size_t>(number)];
  if (!node.core) return;
  node.kill_on_disk_fault = true;
  if (random_.Below(2) == 0) {
    node.remaining_sends = random_.Below(6);
  } else {
    node.disk->FailAfter(random_.Below(12), static_cast<disk_fault>(random_.Below(kDiskFaults)));
  }
}

void simulated_group::EraseDisk(int number) {
  nodes_[static_cast<size_t>(number)].disk = std::make_unique<memory_file_system>(random_.Next());
}

void simulated_group::Freeze(int number, absl::Duration duration) {
  nodes_[static_cast<size_t>(number)].frozen_until = now_ + duration;
}

void simulated_group::FillDisk(int number, absl::Duration duration) {
  node_state& node = nodes_[static_cast<size_t>(number)];
  node.disk->FailAfter(random_.Below(4), static_cast<disk_fault>(random_.Below(kDiskFaults)));
  Run(duration);
  node.disk->ClearFaults();
}

void simulated_group::CheckNoFailure() {
  for (const node_state& node : nodes_) {
    const bool fails = !node.core || node.core->View().status.failure.kind != error().kind;
    if (fails) FailInvariant(absl::StrCat("member ", node.number, " has failed"));
  }
}

void simulated_group::Block(int from, int to, bool blocked) {
  std::set<int>& sources = nodes_[static_cast<size_t>(to)].blocked_from;
  if (blocked) sources.insert(from);
  if (!blocked) sources.erase(from);
}

void simulated_group::Isolate(int node, bool incoming, bool outgoing) {
  for (int other = 0; other < Size(); ++other) {
    if (incoming) Block(other, node, true);
    if (outgoing) Block(node, other, true);
  }
}

void simulated_group::Recover(const std::set<int>& lost) {
  faults = {};
  for (node_state& node : nodes_) {
    node.blocked_from.clear();
    node.frozen_until = absl::InfinitePast();
    const bool failed = node.core && node.core->View().status.role == member_role::kFailed;
    if (node.kill_on_disk_fault || failed) Kill(node.number);
    node.disk->ClearFaults();
    if (lost.count(node.number) == 0 && node.started) Restart(node.number);
  }
}

void simulated_group::node_state::Send(absl::string_view address, std::string message) {
  if (remaining_sends == 0) return;
  --remaining_sends;
  if (disk->FaultCount() > 0) CheckIsDurable(*this, message);
  group->Deliver(number, address, message);
}

void simulated_group::Deliver(int from, absl::string_view address, const std::string& message) {
  int to = 0;
  if (!absl::SimpleAtoi(address, &to)) FailInvariant("a message has no address");
  if (nodes_[static_cast<size_t>(to)].blocked_from.count(from) > 0) return;
  if (random_.Fraction() < faults.loss) return;
  const int copies = random_.Fraction() < faults.duplication ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    in_flight_messages_.emplace(now_ + faults.max_delay * random_.Fraction(),
                                in_flight_message{to, message});
  }
}

void simulated_group::Run(absl::Duration duration) {
  const absl::Time end = now_ + duration;
  while (now_ < end) {
    now_ += kTimeStep;
    while (!in_flight_messages_.empty() && in_flight_messages_.begin()->first <= now_) {
      node_state& receiver = nodes_[static_cast<size_t>(in_flight_messages_.begin()->second.to)];
      if (receiver.core && receiver.inbox.size() < kMaxInboxMessages) {
        receiver.inbox.push_back(std::move(in_flight_messages_.begin()->second.bytes));
      }
      in_flight_messages_.erase(in_flight_messages_.begin());
    }
    if (generate_load) SubmitRandomCommand();
    for (node_state& node : nodes_) {
      if (node.drain_end_min && !node.departed && now_ >= node.drain_end_max) Depart(node.number);
      if (node.core && now_ >= node.frozen_until) RunBatch(node);
    }
    RunReports();
    CheckLeases();
  }
}

void simulated_group::RunReports() {
  if (planner_settings_.desired_voters == 0) return;
  const int leader = Leader();
  if (leader < 0) return;
  node_state& leader_node = nodes_[static_cast<size_t>(leader)];
  for (node_state& node : nodes_) {
    const bool reports = node.core && now_ >= node.frozen_until && now_ >= node.next_report &&
                         leader_node.blocked_from.count(node.number) == 0;
    if (reports) Report(node, leader_node);
  }
  if (now_ < next_plan_) return;
  next_plan_ = now_ + raft_timing().heartbeat_interval;
  PlanNextChange(leader_node);
}

void simulated_group::Report(node_state& from, node_state& leader) {
  const bool draining = from.drain_end_min.has_value();
  from.next_report = now_ + (draining ? kDrainReportInterval : kReportInterval);
  const control_status& status = leader.core->View().status;
  const absl::Time local = LocalTime(leader);
  if (leader.planner_term != status.term) {
    leader.planner.emplace(planner_settings_);
    leader.planner->StartTerm(local);
    leader.planner_term = status.term;
  }
  leader.planner->RecordContact(
      {MemberId(from.number), absl::StrCat(from.number), std::string(kDataCentre), draining},
      local);
  if (!status.members_committed) return;
  PlanNextChange(leader);
  if (draining) EndDrainIfDue(from, status);
}

void simulated_group::PlanNextChange(node_state& leader) {
  const control_status& status = leader.core->View().status;
  if (!status.members_committed || leader.planner_term != status.term) return;
  leader.planner->RecordProgress(status.progress);
  const auto change =
      leader.planner->NextChange(status.members, status.member_id, LocalTime(leader));
  if (!change) return;
  Propose(leader.number, *change, [this, &leader](const propose_response& response) {
    if (!response.result.applied || !leader.planner) return;
    leader.planner->AllowNextChange();
    next_plan_ = absl::InfinitePast();
  });
}

void simulated_group::Drain(int number, absl::Duration min_duration, absl::Duration max_duration) {
  node_state& node = nodes_[static_cast<size_t>(number)];
  node.drain_end_min = now_ + min_duration;
  node.drain_end_max = now_ + max_duration;
  node.next_report = now_;
}

void simulated_group::EndDrainIfDue(node_state& node, const control_status& leader) {
  const std::string address = absl::StrCat(node.number);
  const bool needed =
      std::any_of(leader.members.begin(), leader.members.end(),
                  [&](const control_member_info& member) { return member.address == address; });
  if (!needed && now_ >= *node.drain_end_min) node.drain_end_max = now_;
}

void simulated_group::Depart(int number) {
  nodes_[static_cast<size_t>(number)].departed = true;
  Kill(number);
}

std::vector<uint64_t> simulated_group::Voters() {
  std::vector<uint64_t> voters;
  const int leader = Leader();
  if (leader < 0) return voters;
  for (const control_member_info& member : Core(leader)->View().status.members) {
    if (member.voter) voters.push_back(member.member_id);
  }
  return voters;
}

void simulated_group::RunUntil(const std::string& what, const std::function<bool()>& condition,
                               absl::Duration max_wait) {
  const absl::Time end = now_ + max_wait;
  while (!condition()) {
    if (now_ >= end) FailInvariant(absl::StrCat("no progress: ", what));
    Run(absl::Milliseconds(50));
  }
}

void simulated_group::RunBatch(node_state& node) {
  const absl::Time local = LocalTime(node);
  const bool idle = node.inbox.empty() && node.core->NextTick() > local;
  if (idle && node.core->View().leader_since == absl::InfiniteFuture()) return;
  node.core->Tick(local);
  for (const std::string& message : node.inbox) node.core->Receive(message, local);
  node.inbox.clear();
  node.core->FinishBatch(local);
  CheckMember(node);
  node.core->RunCallbacks();
  const bool disk_killed = node.kill_on_disk_fault && node.disk->HasFailed();
  if (node.remaining_sends == 0 || disk_killed) Kill(node.number);
}

void simulated_group::Propose(int number, command value, proposal_completion completion) {
  node_state& node = nodes_[static_cast<size_t>(number)];
  if (!node.core || now_ < node.frozen_until) return;
  const bool is_change = std::holds_alternative<add_learner>(value) ||
                         std::holds_alternative<promote_learner>(value) ||
                         std::holds_alternative<remove_member>(value);
  encoded_proposal proposal = EncodeProposal(std::move(value), nullptr);
  proposal.completion = [this, is_change, data = proposal.data,
                         completion = std::move(completion)](propose_response response) mutable {
    const bool accepted = response.from_leader && response.result.applied;
    if (accepted && !is_change && committed_data_.count(Shortened(data)) == 0) {
      FailInvariant("an accepted command is not in the log");
    }
    completion(std::move(response));
  };
  node.core->Propose(std::move(proposal), LocalTime(node));
}

void simulated_group::SubmitRandomCommand() {
  if (random_.Below(4) != 0) return;
  const int leader = Leader();
  const int node = leader >= 0 && random_.Below(10) != 0 ? leader : RandomNode();
  random_.Below(3) == 0 ? SubmitManifest(node) : SubmitClaim(node);
}

void simulated_group::SubmitManifest(int node) {
  // Concurrent submissions may have the same version or an outdated one.
  const uint64_t version = accepted_version_ + random_.Below(3);
  const std::string digest = absl::StrCat("digest", next_command_++);
  Propose(node, submit_manifest{version, digest, "{}"}, [this, version](propose_response response) {
    if (response.result.applied) accepted_version_ = std::max(accepted_version_, version);
  });
}

void simulated_group::SubmitClaim(int node) {
  const std::string identity = absl::StrCat("identity", random_.Below(200));
  const std::string attempt = absl::StrCat("attempt", next_command_++);
  Propose(node, claim{"account", identity, "fingerprint", attempt},
          [this, node, identity, attempt](propose_response response) {
            const command_result& result = response.result;
            if (!result.applied || result.claim_outcome != claim_state::kGranted) return;
            std::string& holder = claim_holder_[identity];
            if (!holder.empty()) FailInvariant("a claim was granted to two attempts");
            holder = attempt;
            const uint64_t choice = random_.Below(3);
            if (choice == 0) return;
            if (choice == 1) holder.clear();
            command next = release_claim{"account", identity, attempt};
            if (choice == 2)
              next = complete_claim{"account", identity, attempt, {200, {}, attempt}};
            Propose(node, std::move(next), [](const propose_response&) {});
          });
}

void simulated_group::CheckMember(node_state& node) {
  const raft_replica& replica = node.core->Replica();
  max_log_bytes_ = std::max(max_log_bytes_, replica.LogBytes());
  if (replica.IsLeader()) {
    const auto [known, added] =
        leader_of_term_.emplace(replica.State().term, replica.State().member_id);
    if (known->second != replica.State().member_id) FailInvariant("two leaders in one term");
  }
  for (const log_record& record : replica.RecordsAfter(node.checked_index)) {
    if (record.index > replica.CommitIndex()) break;
    const std::string data = Shortened(record.data);
    const auto [known, added] =
        committed_.emplace(record.index, committed_record{record.term, data});
    const bool equal = known->second.term == record.term && known->second.data == data;
    if (!equal) FailInvariant(absl::StrCat("different committed records at ", record.index));
    if (added) committed_data_.insert(data);
    node.checked_index = record.index;
  }
}

void simulated_group::CheckIsDurable(node_state& node, const std::string& message) {
  if (node.durable_as_of != node.disk->OperationCount()) {
    const auto disk = node.disk->DurableCopy();
    file_journal journal(*disk, "data");
    outcome<stored_log> loaded = Capture<stored_log>([&] { return journal.Load(); });
    if (loaded.index() == 1) FailInvariant("a power loss would damage the journal");
    node.durable = std::get<stored_log>(std::move(loaded));
    node.durable_as_of = node.disk->OperationCount();
  }
  const hard_state& state = node.durable.state;
  const control_message decoded = *DecodeMessage(message);
  if (const auto* hello = std::get_if<bootstrap_hello>(&decoded)) {
    const bool durable = hello->member_id == state.member_id &&
                         hello->initial_voters == state.initial_voters &&
                         (hello->group_id == 0 || hello->group_id == state.group_id);
    if (!durable) FailInvariant("a hello was sent before its content was durable");
    return;
  }
  const raft_message& raft = std::get<raft_message>(decoded);
  const bool pre_vote =
      raft.kind == raft_message_kind::kPreVote || raft.kind == raft_message_kind::kPreVoteResponse;
  if (pre_vote) return;
  if (raft.term > state.term) FailInvariant("a message was sent before its term was durable");
  const bool votes = raft.kind == raft_message_kind::kVote ||
                     (raft.kind == raft_message_kind::kVoteResponse && raft.accepted);
  const uint64_t candidate = raft.kind == raft_message_kind::kVote ? raft.from : raft.to;
  if (votes && state.term == raft.term && state.vote != candidate) {
    FailInvariant("a vote was sent before it was durable");
  }
  uint64_t last = node.durable.snapshot ? node.durable.snapshot->index : 0;
  if (!node.durable.records.empty()) last = node.durable.records.back().index;
  const bool acknowledges = raft.kind == raft_message_kind::kAppendResponse && raft.accepted;
  const uint64_t sent = raft.records.empty() ? 0 : raft.records.back().index;
  if ((acknowledges && raft.log_index > last) || std::max(sent, raft.commit_index) > last) {
    FailInvariant("a record was sent or acknowledged before it was durable");
  }
}

void simulated_group::CheckLeases() {
  int holders = 0;
  for (const node_state& node : nodes_) {
    if (!node.core) continue;
    const member_view& view = node.core->View();
    if (!view.leader || LocalTime(node) >= view.lease_until) continue;
    ++holders;
    if (view.manifest->version < accepted_version_) {
      FailInvariant("a leader with a lease has an older manifest");
    }
  }
  if (holders > 1) FailInvariant("two members hold the lease");
}

int simulated_group::Leader() const {
  for (const node_state& node : nodes_) {
    if (!node.core || now_ < node.frozen_until) continue;
    const member_view& view = node.core->View();
    if (view.leader && LocalTime(node) < view.lease_until) return node.number;
  }
  return -1;
}

void simulated_group::ProposeUntilApplied(const command& value) {
  const auto applied = std::make_shared<bool>(false);
  RunUntil(absl::StrCat("command of kind ", value.index()), [&] {
    const int leader = Leader();
    if (leader < 0 || *applied) return *applied;
    Propose(leader, value, [applied](const propose_response& response) {
      *applied = *applied || response.result.applied;
    });
    Run(absl::Milliseconds(300));
    return *applied;
  });
}

void simulated_group::ProposeAtLeader(const command& value) {
  Propose(Leader(), value, [](const propose_response&) {});
}

command_result simulated_group::ProposeAndWait(const command& value) {
  const auto answer = std::make_shared<absl::optional<command_result>>();
  RunUntil("a leader", [&] { return Leader() >= 0; });
  Propose(Leader(), value, [answer](propose_response response) { *answer = response.result; });
  RunUntil("a response", [&] { return answer->has_value(); });
  return **answer;
}

void simulated_group::Replace(int node, uint64_t old_member) {
  RunUntil("a new member id", [&] { return Core(node)->View().status.member_id != 0; });
  const std::string data_centre(kDataCentre);
  ProposeUntilApplied(add_learner{MemberId(node), absl::StrCat(node), data_centre});
  ProposeUntilApplied(promote_learner{MemberId(node)});
  ProposeUntilApplied(remove_member{old_member});
}

void simulated_group::CheckProgress() {
  generate_load = false;
  const uint64_t version = accepted_version_ + 3;
  ProposeUntilApplied(submit_manifest{version, absl::StrCat("digest", next_command_++), "{}"});
  accepted_version_ = version;
  RunUntil("equal states", [&] {
    std::set<std::string> states;
    for (const node_state& node : nodes_) {
      if (!node.core || node.core->View().status.role == member_role::kFailed) continue;
      states.insert(absl::StrCat(node.core->State().AppliedIndex(), ":",
                                 *node.core->State().Snapshot().data));
    }
    return states.size() == 1;
  });
}

}  // namespace teaseljunction
