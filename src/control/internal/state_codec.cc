#include <functional>
#include <utility>

#include "control/internal/wire.h"
#include "control/replicated_state.h"

namespace teaseljunction {

/// Encodes and decodes the replicated state as the data of a snapshot.
class state_codec {
 public:
  using wire_state = wire::control::ReplicatedState;

  static std::string Encode(const replicated_state& state) {
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire_state>();
    auto manifest = out.initManifest();
    manifest.setVersion(state.manifest_->version);
    manifest.setDigest(ToData(state.manifest_->digest));
    manifest.setContent(ToData(state.manifest_->content));
    auto quarantined = out.initQuarantined(static_cast<unsigned>(state.quarantined_.size()));
    for (unsigned i = 0; i < quarantined.size(); ++i) {
      quarantined.set(i, ToData(state.quarantined_[i]));
    }
    auto accepted = out.initAcceptedDigests(static_cast<unsigned>(state.accepted_digests_.size()));
    for (unsigned i = 0; i < accepted.size(); ++i) {
      accepted.set(i, ToData(state.accepted_digests_[i]));
    }
    WriteAnswers(state, WriteClaims(state, out), out);
    return Flatten(message);
  }

  static result<void> Decode(wire_state::Reader in, replicated_state& state) {
    const auto manifest = in.getManifest();
    state.manifest_ = std::make_shared<const manifest_record>(manifest_record{
        manifest.getVersion(), FromData(manifest.getDigest()), FromData(manifest.getContent())});
    for (const auto fingerprint : in.getQuarantined()) {
      state.quarantined_.push_back(FromData(fingerprint));
      state.quarantined_set_.insert(state.quarantined_.back());
    }
    for (const auto digest : in.getAcceptedDigests()) state.RecordAcceptedDigest(FromData(digest));
    for (const auto claim : in.getClaims()) ReadClaim(claim, state);
    for (const auto answer : in.getAnswers()) {
      if (answer.getClaim() >= state.expiry_queue_.size()) {
        return Fail(error_kind::kMalformedRequest, "An answer has no claim.");
      }
      const replicated_state::claim_reference reference = state.expiry_queue_[answer.getClaim()];
      auto value = std::make_shared<const call_answer>(ReadAnswer(answer.getAnswer()));
      state.claims_[reference.identity].answer = std::move(value);
      state.answer_queue_.push_back(reference);
    }
    state.answer_bytes_ = in.getAnswerBytes();
    return {};
  }

 private:
  using claim_positions = absl::flat_hash_map<uint64_t, uint32_t>;

  // Returns the position in the encoded list of each claim, by its sequence number.
  static claim_positions WriteClaims(const replicated_state& state, wire_state::Builder out) {
    claim_positions written;
    auto claims = out.initClaims(static_cast<unsigned>(state.claims_.size()));
    for (const auto& reference : state.expiry_queue_) {
      const auto found = state.claims_.find(reference.identity);
      if (found == state.claims_.end() || found->second.sequence != reference.sequence) continue;
      const auto index = static_cast<uint32_t>(written.size());
      written[reference.sequence] = index;
      auto claim = claims[index];
      claim.setIdentityHigh(reference.identity[0]);
      claim.setIdentityLow(reference.identity[1]);
      claim.setFingerprintHigh(found->second.fingerprint[0]);
      claim.setFingerprintLow(found->second.fingerprint[1]);
      claim.setAttemptHigh(found->second.attempt[0]);
      claim.setAttemptLow(found->second.attempt[1]);
      claim.setGrantedNanos(ToNanos(found->second.granted));
      claim.setCompleted(found->second.completed);
    }
    return written;
  }

  static void WriteAnswers(const replicated_state& state, const claim_positions& claims,
                           wire_state::Builder out) {
    std::vector<std::pair<uint32_t, const call_answer*>> answers;
    for (const auto& reference : state.answer_queue_) {
      const auto claim = claims.find(reference.sequence);
      if (claim == claims.end()) continue;
      const auto& answer = state.claims_.at(reference.identity).answer;
      if (answer) answers.emplace_back(claim->second, answer.get());
    }
    auto list = out.initAnswers(static_cast<unsigned>(answers.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      list[i].setClaim(answers[i].first);
      WriteAnswer(*answers[i].second, list[i].initAnswer());
    }
    out.setAnswerBytes(state.answer_bytes_);
  }

  static void ReadClaim(wire_state::ClaimEntry::Reader in, replicated_state& state) {
    const replicated_state::digest128 identity = {in.getIdentityHigh(), in.getIdentityLow()};
    replicated_state::claim_entry entry;
    entry.fingerprint = {in.getFingerprintHigh(), in.getFingerprintLow()};
    entry.attempt = {in.getAttemptHigh(), in.getAttemptLow()};
    entry.granted = FromNanos(in.getGrantedNanos());
    entry.completed = in.getCompleted();
    entry.sequence = state.next_sequence_++;
    state.expiry_queue_.push_back({identity, entry.sequence});
    state.claims_[identity] = std::move(entry);
  }
};

log_snapshot replicated_state::Snapshot() const {
  log_snapshot snapshot;
  snapshot.index = applied_index_;
  snapshot.term = applied_term_;
  snapshot.time = time_;
  snapshot.configuration = configuration_;
  snapshot.data = std::make_shared<const std::string>(state_codec::Encode(*this));
  return snapshot;
}

result<void> replicated_state::Restore(const log_snapshot& snapshot) {
  replicated_state restored(limits_);
  restored.applied_index_ = snapshot.index;
  restored.applied_term_ = snapshot.term;
  restored.time_ = snapshot.time;
  restored.configuration_ = snapshot.configuration;
  // The initial snapshot of a group has no data.
  if (snapshot.data && !snapshot.data->empty()) {
    const auto decode = [&](state_codec::wire_state::Reader in) -> result<int> {
      BOOST_LEAF_CHECK(state_codec::Decode(in, restored));
      return 0;
    };
    const outcome<int> decoded = Capture<int>(
        [&] { return ReadMessage<state_codec::wire_state, int>(*snapshot.data, decode); });
    if (const error* failure = std::get_if<error>(&decoded)) {
      return Fail(error_kind::kStorageCorrupt, failure->detail);
    }
  }
  *this = std::move(restored);
  return {};
}

}  // namespace teaseljunction
