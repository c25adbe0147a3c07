#include "daemon/leader_client.h"

#include <algorithm>
#include <utility>

namespace teaseljunction {
namespace {

// A suspended leader does not answer, and its successor accepts commands after about a second.
constexpr absl::Duration kAttemptTimeout = absl::Milliseconds(800);
constexpr absl::Duration kRetryDelay = absl::Milliseconds(50);

// True for errors after which the command may have been committed.
bool MayBeCommitted(error_kind kind) {
  return kind == error_kind::kCommitUnknown || kind == error_kind::kPeerLost ||
         kind == error_kind::kDeadlineExceeded;
}

// True for errors after which the same command may succeed on a retry.
bool IsTransient(error_kind kind) {
  return kind == error_kind::kNotLeader || kind == error_kind::kNoQuorum ||
         kind == error_kind::kOverloaded || kind == error_kind::kCommitUnknown;
}

}  // namespace

void leader_locator::SetSeeds(std::vector<std::string> seeds) {
  absl::MutexLock lock(&mutex_);
  seeds_ = std::move(seeds);
}

void leader_locator::SetMembers(const std::vector<std::string>& members) {
  absl::MutexLock lock(&mutex_);
  members_ = members;
}

bool leader_locator::IsFormerMember(absl::string_view address) const {
  absl::MutexLock lock(&mutex_);
  return !members_.empty() &&
         std::find(members_.begin(), members_.end(), address) == members_.end();
}

std::vector<std::string> leader_locator::KnownAddresses() const {
  std::vector<std::string> known = members_;
  for (const std::string& seed : seeds_) {
    if (std::find(known.begin(), known.end(), seed) == known.end()) known.push_back(seed);
  }
  return known;
}

std::string leader_locator::Address() const {
  absl::MutexLock lock(&mutex_);
  if (!hint_.empty()) return hint_;
  const std::vector<std::string> known = KnownAddresses();
  return known.empty() ? std::string() : known[next_index_ % known.size()];
}

void leader_locator::NotLeader(const std::string& address, const std::string& hint) {
  absl::MutexLock lock(&mutex_);
  if (!hint.empty() && hint != address) {
    hint_ = hint;
    return;
  }
  // Another response may have named the leader in the meantime.
  if (!hint_.empty() && hint_ != address) return;
  hint_.clear();
  ++next_index_;
}

leader_client::leader_client(const clock_source& clock, scheduler& timers, peer_client& peers,
                             leader_locator& locator)
    : clock_(clock), timers_(timers), peers_(peers), locator_(locator) {}

void leader_client::Propose(command proposal, absl::Time deadline,
                            absl::AnyInvocable<void(outcome<command_result>)> done) {
  auto state = std::make_shared<proposal_state>();
  state->proposal = std::move(proposal);
  state->deadline = deadline;
  state->done = std::move(done);
  SendProposal(std::move(state));
}

void leader_client::SendProposal(std::shared_ptr<proposal_state> state) {
  const absl::Duration remaining = state->deadline - clock_.Now();
  if (remaining <= absl::ZeroDuration()) {
    state->done(
        error{state->may_be_committed ? error_kind::kCommitUnknown : error_kind::kNoQuorum, ""});
    return;
  }
  const std::string address = locator_.Address();
  peers_.Propose(address, state->proposal, std::min(remaining, kAttemptTimeout),
                 [this, state, address](outcome<propose_response> response) {
                   OnResponse(state, address, std::move(response));
                 });
}

void leader_client::OnResponse(std::shared_ptr<proposal_state> state, const std::string& address,
                               outcome<propose_response> response) {
  if (const auto* failure = std::get_if<error>(&response)) {
    if (MayBeCommitted(failure->kind)) state->may_be_committed = true;
    locator_.NotLeader(address, "");
    return RetryLater(std::move(state));
  }
  auto& answer = std::get<propose_response>(response);
  if (!answer.from_leader) {
    locator_.NotLeader(address, answer.leader_address);
    return RetryLater(std::move(state));
  }
  const command_result& decision = answer.result;
  if (!decision.applied && IsTransient(decision.failure.kind)) {
    if (MayBeCommitted(decision.failure.kind)) state->may_be_committed = true;
    return RetryLater(std::move(state));
  }
  state->done(std::move(answer.result));
}

void leader_client::RetryLater(std::shared_ptr<proposal_state> state) {
  timers_.RunAt(clock_.Now() + kRetryDelay, [this, state] { SendProposal(state); });
}

}  // namespace teaseljunction
