#include "control/internal/member_core.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "control/codec.h"

namespace teaseljunction {
namespace {

// Intervals at which writes that the disk has refused are repeated.
constexpr absl::Duration kWriteRetryInterval = absl::Milliseconds(100);
constexpr absl::Duration kSnapshotRetryInterval = absl::Seconds(5);

propose_response MakeRefusal(const error& failure, std::string leader_address) {
  propose_response response;
  response.from_leader = failure.kind != error_kind::kNotLeader;
  response.leader_address = std::move(leader_address);
  response.result.failure = failure;
  return response;
}

template <class Operation>
absl::optional<error> FailureOf(Operation&& operation) {
  const outcome<bool> done = Capture<bool>([&]() -> result<bool> {
    BOOST_LEAF_CHECK(operation());
    return true;
  });
  const error* failure = std::get_if<error>(&done);
  return failure == nullptr ? absl::nullopt : absl::make_optional(*failure);
}

error CommitUnknownError() {
  return {error_kind::kCommitUnknown, "The command may be committed later."};
}

template <class... Ts>
struct overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

}  // namespace

encoded_proposal EncodeProposal(command value, proposal_completion completion) {
  std::string data = EncodeCommand(value);
  return {std::move(value), std::move(data), std::move(completion)};
}

member_core::member_core(control_member_settings settings, raft_storage& storage,
                         random_source& random, raft_transport& transport,
                         control_observer* observer)
    : settings_(std::move(settings)),
      storage_(storage),
      random_(random),
      transport_(transport),
      observer_(observer),
      bootstrap_(settings_.address, settings_.data_centre, settings_.initial_voter_addresses),
      state_(settings_.limits) {}

result<void> member_core::Start(absl::Time now) {
  outcome<stored_log> loaded = Capture<stored_log>([&] { return storage_.Load(); });
  if (const error* failure = std::get_if<error>(&loaded)) {
    if (failure->kind != error_kind::kStorageCorrupt) {
      return teaseljunction::Fail(failure->kind, failure->detail);
    }
    StartReplica({}, now);
    StopWithFailure(*failure);
    return {};
  }
  stored_log& stored = std::get<stored_log>(loaded);
  if (stored.state.member_id == 0) {
    while (stored.state.member_id == 0) stored.state.member_id = random_.Next();
    LOG(INFO) << "control: initialised an empty data directory with member id "
              << stored.state.member_id;
  }
  // Stored again, since the journal is durable only after its next write.
  raft_output initial;
  initial.state = stored.state;
  StartReplica(std::move(stored), now);
  if (!Persist(initial, now)) HoldOutput(std::move(initial), now);
  UpdateView(now);
  return {};
}

void member_core::StartReplica(stored_log stored, absl::Time now) {
  const absl::optional<log_snapshot> snapshot = stored.snapshot;
  raft_settings settings;
  static_cast<raft_timing&>(settings) = settings_.timing;
  settings.retained_records = settings_.retained_records;
  settings.retained_bytes = settings_.retained_bytes;
  settings.min_durable_copies = settings_.min_durable_copies;
  replica_.emplace(settings, std::move(stored), settings_.address, random_, now);
  if (snapshot) Restore(*snapshot);
}

bool member_core::Restore(const log_snapshot& snapshot) {
  if (const absl::optional<error> failure = FailureOf([&] { return state_.Restore(snapshot); })) {
    StopWithFailure(*failure);
    return false;
  }
  snapshot_index_ = snapshot.index;
  snapshot_size_ = snapshot.data ? snapshot.data->size() : 0;
  bytes_since_snapshot_ = 0;
  return true;
}

template <class Operation>
bool member_core::Store(Operation&& operation, absl::Time now) {
  const absl::optional<error> failure = FailureOf(operation);
  if (!failure) {
    ReportAcceptedWrite(now);
  } else if (failure->kind == error_kind::kStorageFailed) {
    ReportRefusedWrite(*failure, now);
  } else {
    StopWithFailure(*failure);
  }
  return !failure;
}

void member_core::ReportRefusedWrite(const error& failure, absl::Time now) {
  failure_ = failure;
  if (writes_refused_since_) return;
  writes_refused_since_ = now;
  LOG(ERROR) << "control: the disk refuses writes: " << failure.detail;
}

void member_core::ReportAcceptedWrite(absl::Time now) {
  if (!writes_refused_since_) return;
  LOG(INFO) << "control: the disk accepts writes again after "
            << absl::ToInt64Milliseconds(now - *writes_refused_since_) << " ms";
  writes_refused_since_.reset();
  failure_ = {};
}

void member_core::StopWithFailure(const error& failure) {
  if (failed_) return;
  failed_ = true;
  failure_ = failure;
  held_output_.reset();
  replica_->Fail();
  LOG(ERROR) << "control: member stopped, " << AnswerFor(failure.kind).name << ": "
             << failure.detail;
  AbortProposals();
  UpdateView(absl::InfinitePast());
}

void member_core::Receive(absl::string_view message, absl::Time now) {
  if (failed_ || held_output_) return;
  outcome<control_message> decoded =
      Capture<control_message>([&] { return DecodeMessage(message); });
  if (std::holds_alternative<error>(decoded)) {
    LOG(WARNING) << "control: dropped a message that cannot be decoded";
    return;
  }
  std::visit(overloaded{[&](const raft_message& raft) { replica_->Step(raft, now); },
                        [&](const bootstrap_hello& hello) { HandleHello(hello, now); }},
             std::get<control_message>(decoded));
}

void member_core::HandleHello(const bootstrap_hello& hello, absl::Time now) {
  hard_state state = replica_->State();
  if (state.group_id == 0) {
    bootstrap_output output = bootstrap_.Step(hello, state, now);
    return RunBootstrap(std::move(output), std::move(state), now);
  }
  if (hello.request) transport_.Send(hello.address, EncodeMessage(bootstrap_.OwnHello(state)));
}

void member_core::RunBootstrap(bootstrap_output output, hard_state state, absl::Time now) {
  if (output.voters_agreed) {
    if (!Store([&] { return storage_.Append(&state, {}); }, now)) return;
    stored_log stored;
    stored.state = state;
    StartReplica(std::move(stored), now);
  }
  for (const outgoing_hello& outgoing : output.hellos) {
    transport_.Send(outgoing.address, EncodeMessage(outgoing.hello));
  }
  if (!output.start_group) return;
  stored_log stored;
  stored.snapshot = InitialSnapshot(state.initial_voters);
  state.group_id = GroupId(state.initial_voters);
  state.term = stored.snapshot->term;
  stored.state = state;
  if (!Store([&] { return storage_.Checkpoint(*stored.snapshot, state, {}); }, now)) return;
  LOG(INFO) << "control: started group " << state.group_id << " with "
            << state.initial_voters.size() << " voters";
  StartReplica(std::move(stored), now);
}

void member_core::Propose(encoded_proposal proposal, absl::Time now) {
  const outcome<uint64_t> index = Capture<uint64_t>([&]() -> result<uint64_t> {
    if (proposal.data.size() > kMaxCommandBytes) {
      return teaseljunction::Fail(error_kind::kBodyTooLarge, "The command is too large.");
    }
    return std::visit(
        overloaded{
            [&](const add_learner& change) { return replica_->ProposeChange(change, now); },
            [&](const promote_learner& change) { return replica_->ProposeChange(change, now); },
            [&](const remove_member& change) { return replica_->ProposeChange(change, now); },
            [&](const auto&) { return replica_->Propose(std::move(proposal.data), now); }},
        proposal.value);
  });
  if (const error* failure = std::get_if<error>(&index)) {
    return QueueCompletion(std::move(proposal.completion),
                           MakeRefusal(*failure, replica_->LeaderAddress()));
  }
  const uint64_t log_index = std::get<uint64_t>(index);
  if (log_index != 0) {
    // A proposal of an earlier term may still be pending at this index. Its record was replaced.
    CompleteProposal(log_index, replica_->State().term, {});
    pending_proposals_[log_index] = {replica_->State().term, now + settings_.proposal_timeout,
                                     std::move(proposal.completion)};
    return;
  }
  propose_response response;
  response.from_leader = true;
  response.leader_address = settings_.address;
  response.result.applied = true;
  response.result.already_accepted = true;
  QueueCompletion(std::move(proposal.completion), std::move(response));
}

void member_core::Tick(absl::Time now) {
  if (failed_ || held_output_) return;
  if (replica_->State().group_id == 0) {
    hard_state state = replica_->State();
    bootstrap_output output = bootstrap_.Tick(state, now);
    RunBootstrap(std::move(output), std::move(state), now);
  }
  const absl::Time next_tick = replica_->NextTick();
  replica_->Tick(now);
  const bool heartbeats_sent = replica_->IsLeader() && replica_->NextTick() != next_tick;
  if (!heartbeats_sent || observer_ == nullptr) return;
  callbacks_.push_back([observer = observer_] { observer->OnHeartbeat(); });
}

absl::Time member_core::NextTick() const {
  absl::Time next = held_output_ ? next_write_ : replica_->NextTick();
  const bool bootstraps = !failed_ && !held_output_ && replica_->State().group_id == 0;
  if (bootstraps) next = std::min(next, bootstrap_.NextTick());
  if (!pending_proposals_.empty()) {
    next = std::min(next, pending_proposals_.begin()->second.deadline);
  }
  return next;
}

void member_core::FinishBatch(absl::Time now) {
  if (failed_) return;
  if (replica_->Role() == member_role::kFailed) {
    return StopWithFailure(
        {error_kind::kStorageCorrupt, "A committed record differs from the leader's."});
  }
  if (held_output_ && now < next_write_) {
    ExpireProposals(now);
    return UpdateView(now);
  }
  raft_output output = held_output_ ? *std::exchange(held_output_, {}) : replica_->TakeOutput(now);
  if (Persist(output, now)) {
    SendMessages(output.messages);
    ApplyRecords(output.committed);
    TakeSnapshotIfDue(now);
  } else if (!failed_) {
    HoldOutput(std::move(output), now);
  }
  if (failed_) return;
  ExpireProposals(now);
  UpdateView(now);
}

void member_core::HoldOutput(raft_output output, absl::Time now) {
  // Raft tolerates lost messages, and these would be outdated once the output is durable.
  output.messages.clear();
  held_output_ = std::move(output);
  next_write_ = now + kWriteRetryInterval;
  replica_->StepDown(now);
}

bool member_core::Persist(const raft_output& output, absl::Time now) {
  if (output.installed_snapshot) {
    const log_snapshot& snapshot = *output.installed_snapshot;
    // Restored first, so that a damaged snapshot does not replace the content of the journal.
    if (state_.AppliedIndex() < snapshot.index) {
      LOG(INFO) << "control: installed a snapshot up to record " << snapshot.index;
      if (!Restore(snapshot)) return false;
    }
    return Store(
        [&] {
          return storage_.Checkpoint(snapshot, replica_->State(),
                                     replica_->RecordsAfter(snapshot.index));
        },
        now);
  }
  if (!output.state && output.records.empty()) return true;
  const hard_state* state = output.state ? &*output.state : nullptr;
  return Store([&] { return storage_.Append(state, output.records); }, now);
}

void member_core::SendMessages(const std::vector<outgoing_message>& messages) {
  for (const outgoing_message& outgoing : messages) {
    transport_.Send(outgoing.address, EncodeMessage(outgoing.message));
  }
}

void member_core::ApplyRecords(const std::vector<log_record>& records) {
  for (const log_record& record : records) {
    bytes_since_snapshot_ += sizeof(log_record) + record.data.size();
    CompleteProposal(record.index, record.term, state_.Apply(record));
  }
}

void member_core::CompleteProposal(uint64_t index, uint64_t term, command_result result) {
  const auto found = pending_proposals_.find(index);
  if (found == pending_proposals_.end()) return;
  propose_response response;
  response.from_leader = true;
  response.leader_address = replica_->LeaderAddress();
  response.result = std::move(result);
  // The proposed record was replaced by a record of another leader.
  if (found->second.term != term) response = MakeRefusal(CommitUnknownError(), {});
  QueueCompletion(std::move(found->second.completion), std::move(response));
  pending_proposals_.erase(found);
}

void member_core::ExpireProposals(absl::Time now) {
  const bool lost_leadership = !replica_->IsLeader();
  while (!pending_proposals_.empty()) {
    pending_proposal& first = pending_proposals_.begin()->second;
    const bool expired =
        lost_leadership || first.term != replica_->State().term || now >= first.deadline;
    if (!expired) return;
    QueueCompletion(std::move(first.completion),
                    MakeRefusal(CommitUnknownError(), replica_->LeaderAddress()));
    pending_proposals_.erase(pending_proposals_.begin());
  }
}

void member_core::AbortProposals() {
  for (auto& [index, proposal] : pending_proposals_) {
    QueueCompletion(std::move(proposal.completion), MakeRefusal(CommitUnknownError(), {}));
  }
  pending_proposals_.clear();
}

void member_core::TakeSnapshotIfDue(absl::Time now) {
  const uint64_t applied = state_.AppliedIndex();
  const bool many_records = applied >= snapshot_index_ + settings_.snapshot_after_records;
  const bool many_bytes =
      bytes_since_snapshot_ >= std::max(settings_.snapshot_after_bytes, snapshot_size_);
  if ((!many_records && !many_bytes) || now < next_snapshot_attempt_) return;
  // Writing a large snapshot delays the heartbeats, so the lease is renewed right before.
  replica_->RenewLease(now);
  SendMessages(replica_->TakeOutput(now).messages);
  const log_snapshot snapshot = state_.Snapshot();
  const absl::optional<error> failure = FailureOf([&] {
    return storage_.Checkpoint(snapshot, replica_->State(), replica_->RecordsAfter(snapshot.index));
  });
  if (failure) {
    // The log has all of its content, so the member goes on without the snapshot.
    LOG(WARNING) << "control: the snapshot is not stored yet: " << failure->detail;
    next_snapshot_attempt_ = now + kSnapshotRetryInterval;
    return;
  }
  replica_->Compact(snapshot);
  snapshot_index_ = snapshot.index;
  snapshot_size_ = snapshot.data->size();
  bytes_since_snapshot_ = 0;
}

void member_core::QueueCompletion(proposal_completion completion, propose_response response) {
  callbacks_.push_back(
      [completion = std::move(completion), response = std::move(response)]() mutable {
        completion(std::move(response));
      });
}

void member_core::RunCallbacks() {
  // The list is moved out, so that a callback that adds another one does not invalidate the loop.
  std::vector<absl::AnyInvocable<void()>> due = std::exchange(callbacks_, {});
  for (absl::AnyInvocable<void()>& callback : due) callback();
}

void member_core::UpdateView(absl::Time now) {
  const absl::Time previous_leader_since = view_.leader_since;
  control_status& status = view_.status;
  const hard_state& stored = replica_->State();
  status.member_id = stored.member_id;
  status.group_id = stored.group_id;
  status.role = failed_ ? member_role::kFailed : replica_->Role();
  status.term = stored.term;
  status.commit_index = replica_->CommitIndex();
  status.applied_index = state_.AppliedIndex();
  status.leader_address = failed_ ? std::string() : replica_->LeaderAddress();
  status.failure = failure_;
  status.members_committed = replica_->IsConfigurationCommitted();
  status.progress = failed_ ? std::vector<member_progress>() : replica_->Progress();
  status.members.clear();
  for (const group_member& member : replica_->Configuration()) {
    status.members.push_back({member.member_id, member.address, member.data_centre, member.voter});
  }
  if (status.members.empty()) {
    status.members.push_back({stored.member_id, settings_.address, settings_.data_centre, false});
  }
  view_.leader = replica_->IsLeader();
  view_.leader_since = replica_->LeaderSince();
  view_.lease_until = replica_->LeaseUntil(now);
  if (view_.leader_since != previous_leader_since) NotifyLeadership(now);
  if (view_.quarantined->size() != state_.QuarantineSize()) {
    view_.quarantined = std::make_shared<std::vector<std::string>>(state_.Quarantined(0));
  }
  if (view_.manifest->version == state_.Manifest()->version) return;
  view_.manifest = state_.Manifest();
  LOG(INFO) << "control: manifest version " << view_.manifest->version << " applied";
  if (observer_ == nullptr) return;
  callbacks_.push_back(
      [observer = observer_, manifest = view_.manifest] { observer->OnManifestApplied(manifest); });
}

void member_core::NotifyLeadership(absl::Time now) {
  const bool leader = view_.leader;
  LOG(INFO) << "control: " << (leader ? "became" : "stopped being") << " leader, term "
            << view_.status.term;
  if (observer_ == nullptr) return;
  const absl::Time since = leader ? view_.leader_since : now;
  callbacks_.push_back(
      [observer = observer_, leader, since] { observer->OnLeadershipChange(leader, since); });
}

}  // namespace teaseljunction
