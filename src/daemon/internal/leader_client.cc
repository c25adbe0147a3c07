#include "daemon/leader_client.h"

#include <algorithm>
#include <utility>

namespace teaseljunction {
namespace {

// A suspended leader does not answer; its successor can accept commands after about a second.
constexpr absl::Duration kAttemptTimeout = absl::Milliseconds(800);
constexpr absl::Duration kRetryDelay = absl::Milliseconds(50);

bool IsUnknown(error_kind kind) {
  return kind == error_kind::kCommitUnknown || kind == error_kind::kPeerLost ||
         kind == error_kind::kDeadlineExceeded;
}

// Kinds after which the same command can succeed a little later.
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

std::vector<std::string> leader_locator::Known() const {
  std::vector<std::string> known = members_;
  for (const std::string& seed : seeds_) {
    if (std::find(known.begin(), known.end(), seed) == known.end()) known.push_back(seed);
  }
  return known;
}

std::string leader_locator::Address() const {
  absl::MutexLock lock(&mutex_);
  if (!hint_.empty()) return hint_;
  const std::vector<std::string> known = Known();
  return known.empty() ? std::string() : known[next_ % known.size()];
}

void leader_locator::NotLeader(const std::string& address, const std::string& hint) {
  absl::MutexLock lock(&mutex_);
  if (!hint.empty() && hint != address) {
    hint_ = hint;
    return;
  }
  // Another answer may have found the leader in the meantime.
  if (!hint_.empty() && hint_ != address) return;
  hint_.clear();
  ++next_;
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
  Try(std::move(state));
}

void leader_client::Try(std::shared_ptr<proposal_state> state) {
  const absl::Duration left = state->deadline - clock_.Now();
  if (left <= absl::ZeroDuration()) {
    state->done(error{state->unknown ? error_kind::kCommitUnknown : error_kind::kNoQuorum, ""});
    return;
  }
  const std::string address = locator_.Address();
  peers_.Propose(address, state->proposal, std::min(left, kAttemptTimeout),
                 [this, state, address](outcome<propose_response> response) {
                   OnResponse(state, address, std::move(response));
                 });
}

void leader_client::OnResponse(std::shared_ptr<proposal_state> state, const std::string& address,
                               outcome<propose_response> response) {
  if (const auto* failure = std::get_if<error>(&response)) {
    if (IsUnknown(failure->kind)) state->unknown = true;
    locator_.NotLeader(address, "");
    return TryLater(std::move(state));
  }
  auto& answered = std::get<propose_response>(response);
  if (!answered.from_leader) {
    locator_.NotLeader(address, answered.leader_address);
    return TryLater(std::move(state));
  }
  const command_result& decided = answered.result;
  if (!decided.applied && IsTransient(decided.failure.kind)) {
    if (IsUnknown(decided.failure.kind)) state->unknown = true;
    return TryLater(std::move(state));
  }
  state->done(std::move(answered.result));
}

void leader_client::TryLater(std::shared_ptr<proposal_state> state) {
  timers_.RunAt(clock_.Now() + kRetryDelay, [this, state] { Try(state); });
}

}  // namespace teaseljunction
