#include "control/control_member.h"

#include <algorithm>
#include <deque>
#include <set>
#include <thread>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "control/file_system.h"
#include "control/internal/member_core.h"
#include "control/journal.h"

namespace teaseljunction {
namespace {

// Bounds of the queues. Messages above them are dropped, which Raft tolerates; proposals are
// refused.
constexpr size_t kMaxQueuedMessages = 4096;
constexpr size_t kMaxQueuedMessageBytes = 32 * 1024 * 1024;
constexpr size_t kMaxQueuedProposals = 10'000;
constexpr size_t kMaxQueuedProposalBytes = 64 * 1024 * 1024;
// Largest number of messages, and of proposals, in a batch. Bounds the delay of heartbeats.
constexpr size_t kMaxBatchItems = 1024;
constexpr absl::Duration kMaxBatchWait = absl::Seconds(1);

class threaded_control_member : public control_member {
 public:
  threaded_control_member(control_member_settings settings, const clock_source& clock,
                          random_source& random, raft_transport& transport,
                          control_observer* observer, file_system& files)
      : clock_(clock),
        journal_(files, settings.data_directory),
        core_(settings, journal_, random, transport, observer) {}

  ~threaded_control_member() override {
    {
      const absl::MutexLock lock(&mutex_);
      stopping_ = true;
    }
    if (thread_.joinable()) thread_.join();
  }

  result<void> Start() {
    BOOST_LEAF_CHECK(core_.Start(clock_.Now()));
    Publish();
    thread_ = std::thread([this] { Run(); });
    return {};
  }

  void Receive(std::string message) override {
    const absl::MutexLock lock(&mutex_);
    const bool full = messages_.size() >= kMaxQueuedMessages ||
                      message_bytes_ + message.size() > kMaxQueuedMessageBytes;
    if (full || stopping_) return;
    message_bytes_ += message.size();
    messages_.push_back(std::move(message));
  }

  void Propose(command value, absl::AnyInvocable<void(propose_response)> completion) override {
    propose_response refusal;
    {
      const absl::MutexLock lock(&mutex_);
      refusal.from_leader = view_.leader;
      refusal.leader_address = view_.status.leader_address;
    }
    refusal.result.failure = {error_kind::kNotLeader, {}};
    if (!refusal.from_leader) return completion(std::move(refusal));
    encoded_proposal proposal = EncodeProposal(std::move(value), std::move(completion));
    if (EnqueueProposal(proposal)) return;
    refusal.result.failure = {error_kind::kOverloaded, "Too many proposals are queued."};
    proposal.completion(std::move(refusal));
  }

  control_status Status() const override {
    const absl::MutexLock lock(&mutex_);
    return view_.status;
  }

  bool IsLeader() const override {
    const absl::MutexLock lock(&mutex_);
    return view_.leader;
  }

  bool HoldsLease(absl::Time now) const override {
    const absl::MutexLock lock(&mutex_);
    return view_.leader && now < view_.lease_until;
  }

  absl::Time LeaderSince() const override {
    const absl::MutexLock lock(&mutex_);
    return view_.leader_since;
  }

  std::string LeaderAddress() const override {
    const absl::MutexLock lock(&mutex_);
    return view_.status.leader_address;
  }

  std::shared_ptr<const manifest_record> CurrentManifest() const override {
    const absl::MutexLock lock(&mutex_);
    return view_.manifest;
  }

  std::vector<std::string> QuarantinedFrom(uint64_t from) const override {
    std::shared_ptr<const std::vector<std::string>> list;
    {
      const absl::MutexLock lock(&mutex_);
      list = view_.quarantined;
    }
    if (from >= list->size()) return {};
    return {list->begin() + static_cast<std::ptrdiff_t>(from), list->end()};
  }

 private:
  bool EnqueueProposal(encoded_proposal& proposal) {
    const absl::MutexLock lock(&mutex_);
    const bool full = proposals_.size() >= kMaxQueuedProposals ||
                      proposal_bytes_ + proposal.data.size() > kMaxQueuedProposalBytes;
    if (full || stopping_) return false;
    proposal_bytes_ += proposal.data.size();
    proposals_.push_back(std::move(proposal));
    return true;
  }

  bool HasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return stopping_ || !messages_.empty() || !proposals_.empty();
  }

  void Run() {
    std::vector<std::string> messages;
    std::vector<encoded_proposal> proposals;
    while (TakeBatch(messages, proposals)) {
      const absl::Time now = clock_.Now();
      core_.Tick(now);
      for (const std::string& message : messages) core_.Receive(message, now);
      for (encoded_proposal& proposal : proposals) core_.Propose(std::move(proposal), now);
      core_.FinishBatch(now);
      Publish();
      core_.RunCallbacks();
    }
    for (encoded_proposal& proposal : proposals) core_.Propose(std::move(proposal), clock_.Now());
    core_.AbortProposals();
    core_.RunCallbacks();
  }

  // Waits for work or the next tick. Returns false when the member is stopping.
  bool TakeBatch(std::vector<std::string>& messages, std::vector<encoded_proposal>& proposals) {
    const absl::Duration wait =
        std::clamp(core_.NextTick() - clock_.Now(), absl::ZeroDuration(), kMaxBatchWait);
    const absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(this, &threaded_control_member::HasWork), wait);
    const size_t limit = stopping_ ? kMaxQueuedProposals : kMaxBatchItems;
    TakeFromQueue(messages_, message_bytes_, messages, limit);
    TakeFromQueue(proposals_, proposal_bytes_, proposals, limit);
    return !stopping_;
  }

  static size_t SizeOf(const std::string& message) { return message.size(); }
  static size_t SizeOf(const encoded_proposal& proposal) { return proposal.data.size(); }

  template <class T>
  static void TakeFromQueue(std::deque<T>& queue, size_t& bytes, std::vector<T>& batch,
                            size_t limit) {
    batch.clear();
    while (!queue.empty() && batch.size() < limit) {
      bytes -= SizeOf(queue.front());
      batch.push_back(std::move(queue.front()));
      queue.pop_front();
    }
  }

  void Publish() {
    const absl::MutexLock lock(&mutex_);
    view_ = core_.View();
  }

  const clock_source& clock_;
  file_journal journal_;
  // Used only by the control thread once that has started.
  member_core core_;
  mutable absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<std::string> messages_ ABSL_GUARDED_BY(mutex_);
  size_t message_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<encoded_proposal> proposals_ ABSL_GUARDED_BY(mutex_);
  size_t proposal_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  member_view view_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

result<void> Validate(const control_member_settings& settings) {
  const auto invalid = [](std::string detail) {
    return Fail(error_kind::kSettingInvalid, std::move(detail));
  };
  if (settings.address.empty()) return invalid("A control member needs an address.");
  if (settings.data_directory.empty()) return invalid("A control member needs a data folder.");
  const std::set<std::string> peers(settings.initial_voter_addresses.begin(),
                                    settings.initial_voter_addresses.end());
  if (peers.size() != settings.initial_voter_addresses.size()) {
    return invalid("The list of control peers contains an address twice.");
  }
  if (!peers.empty() && peers.count(settings.address) == 0) {
    return invalid(absl::StrCat("The list of control peers does not contain this member's address ",
                                settings.address, "."));
  }
  return {};
}

file_system& DefaultFileSystem() {
  static posix_file_system files;
  return files;
}

}  // namespace

control_member_builder& control_member_builder::WithSettings(control_member_settings settings) {
  settings_ = std::move(settings);
  return *this;
}

control_member_builder& control_member_builder::WithClock(const clock_source& clock) {
  clock_ = &clock;
  return *this;
}

control_member_builder& control_member_builder::WithRandom(random_source& random) {
  random_ = &random;
  return *this;
}

control_member_builder& control_member_builder::WithTransport(raft_transport& transport) {
  transport_ = &transport;
  return *this;
}

control_member_builder& control_member_builder::WithObserver(control_observer& observer) {
  observer_ = &observer;
  return *this;
}

control_member_builder& control_member_builder::WithFileSystem(file_system& files) {
  files_ = &files;
  return *this;
}

result<std::unique_ptr<control_member>> control_member_builder::Build() {
  BOOST_LEAF_CHECK(Validate(settings_));
  if (clock_ == nullptr || random_ == nullptr || transport_ == nullptr) {
    return Fail(error_kind::kSettingInvalid,
                "A control member needs a clock, random numbers and a transport.");
  }
  file_system& files = files_ != nullptr ? *files_ : DefaultFileSystem();
  auto member = std::make_unique<threaded_control_member>(settings_, *clock_, *random_, *transport_,
                                                          observer_, files);
  BOOST_LEAF_CHECK(member->Start());
  return std::unique_ptr<control_member>(std::move(member));
}

}  // namespace teaseljunction
