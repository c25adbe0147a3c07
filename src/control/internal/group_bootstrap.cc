#include "control/group_bootstrap.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace teaseljunction {
namespace {

constexpr absl::Duration kHelloInterval = absl::Milliseconds(200);
// An id received earlier may belong to a data directory that has been lost since.
constexpr absl::Duration kHelloLifetime = absl::Seconds(2);

}  // namespace

group_bootstrap::group_bootstrap(std::string address, std::string data_centre,
                                 std::vector<std::string> peers)
    : address_(std::move(address)), data_centre_(std::move(data_centre)), peers_(std::move(peers)) {
  if (peers_.empty()) next_hello_ = absl::InfiniteFuture();
}

bootstrap_hello group_bootstrap::OwnHello(const hard_state& state) const {
  bootstrap_hello hello;
  hello.address = address_;
  hello.data_centre = data_centre_;
  hello.member_id = state.member_id;
  hello.group_id = state.group_id;
  hello.initial_voters = state.initial_voters;
  return hello;
}

void group_bootstrap::AddHellos(const hard_state& state, bool request,
                                bootstrap_output& output) const {
  for (const std::string& peer : peers_) {
    if (peer == address_) continue;
    output.hellos.push_back({peer, OwnHello(state)});
    output.hellos.back().hello.request = request;
  }
}

bootstrap_output group_bootstrap::Tick(hard_state& state, absl::Time now) {
  bootstrap_output output;
  if (now < next_hello_) return output;
  next_hello_ = now + kHelloInterval;
  AgreeOnVoters(state, now, output);
  output.start_group = CanStartGroup(state);
  AddHellos(state, true, output);
  return output;
}

bootstrap_output group_bootstrap::Step(const bootstrap_hello& hello, hard_state& state,
                                       absl::Time now) {
  bootstrap_output output;
  const bool is_peer = hello.address != address_ &&
                       std::find(peers_.begin(), peers_.end(), hello.address) != peers_.end();
  if (!is_peer) return output;
  last_hellos_[hello.address] = {hello, now};
  if (hello.group_id != 0) peer_has_group_ = true;
  AgreeOnVoters(state, now, output);
  if (output.voters_agreed) AddHellos(state, false, output);
  if (hello.request) output.hellos.push_back({hello.address, OwnHello(state)});
  output.start_group = CanStartGroup(state);
  return output;
}

void group_bootstrap::AgreeOnVoters(hard_state& state, absl::Time now, bootstrap_output& output) {
  if (peers_.empty() || !state.initial_voters.empty() || peer_has_group_) return;
  group_configuration voters = {{state.member_id, address_, data_centre_, true}};
  for (const std::string& peer : peers_) {
    if (peer == address_) continue;
    const auto known = last_hellos_.find(peer);
    if (known == last_hellos_.end() || now - known->second.receive_time > kHelloLifetime) return;
    const bootstrap_hello& hello = known->second.hello;
    voters.push_back({hello.member_id, hello.address, hello.data_centre, true});
  }
  std::sort(voters.begin(), voters.end(),
            [](const group_member& a, const group_member& b) { return a.member_id < b.member_id; });
  for (const auto& [address, peer] : last_hellos_) {
    const group_configuration& agreed = peer.hello.initial_voters;
    if (!agreed.empty() && agreed != voters) return;
  }
  state.initial_voters = std::move(voters);
  output.voters_agreed = true;
}

bool group_bootstrap::CanStartGroup(const hard_state& state) const {
  if (state.initial_voters.empty()) return false;
  // A voter starts the group only after all voters have agreed, so one started voter is sufficient.
  const uint64_t group_id = GroupId(state.initial_voters);
  for (const auto& [address, peer] : last_hellos_) {
    if (peer.hello.group_id == group_id) return true;
  }
  for (const group_member& voter : state.initial_voters) {
    if (voter.member_id == state.member_id) continue;
    const auto known = last_hellos_.find(voter.address);
    if (known == last_hellos_.end()) return false;
    const bootstrap_hello& hello = known->second.hello;
    const bool agreed =
        hello.member_id == voter.member_id && hello.initial_voters == state.initial_voters;
    if (!agreed) return false;
  }
  return true;
}

uint64_t GroupId(const group_configuration& initial_voters) {
  uint64_t hash = 0;
  for (const group_member& voter : initial_voters) {
    hash = XXH3_64bits_withSeed(&voter.member_id, sizeof(voter.member_id), hash);
  }
  return std::max<uint64_t>(hash, 1);
}

log_snapshot InitialSnapshot(const group_configuration& initial_voters) {
  log_snapshot snapshot;
  snapshot.index = 1;
  snapshot.term = 1;
  snapshot.configuration = initial_voters;
  snapshot.data = std::make_shared<const std::string>();
  return snapshot;
}

}  // namespace teaseljunction
