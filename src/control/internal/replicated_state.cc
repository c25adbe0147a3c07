#include "control/replicated_state.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "common/digest.h"
#include "control/codec.h"

namespace teaseljunction {
namespace {

constexpr int kHexDigitsPerWord = 16;
// A queue is purged of stale entries when it exceeds twice the number of claims by this many.
constexpr size_t kQueuePurgeMargin = 1024;

command_result Refused(error_kind kind, std::string detail = {}) {
  command_result refusal;
  refusal.failure = {kind, std::move(detail)};
  return refusal;
}

command_result RefusedClaim(claim_state state, error_kind kind) {
  command_result refusal = Refused(kind);
  refusal.claim_outcome = state;
  return refusal;
}

command_result Applied() {
  command_result done;
  done.applied = true;
  return done;
}

uint64_t SizeOf(const call_answer& answer) {
  uint64_t bytes = answer.body.size();
  for (const http_header& header : answer.headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

}  // namespace

replicated_state::digest128 replicated_state::Digest(absl::Span<const absl::string_view> fields) {
  const std::string hex = Sha256HexOfFields(fields);
  digest128 digest{};
  for (size_t i = 0; i < digest.size(); ++i) {
    const char* begin = hex.data() + i * kHexDigitsPerWord;
    std::from_chars(begin, begin + kHexDigitsPerWord, digest[i], 16);
  }
  return digest;
}

command_result replicated_state::Apply(const log_record& record) {
  applied_index_ = record.index;
  applied_term_ = record.term;
  time_ = std::max(time_, record.time);
  ExpireClaims();
  if (record.kind == record_kind::kNoOp) return Applied();
  if (record.kind == record_kind::kConfiguration) {
    configuration_ = record.configuration;
    return Applied();
  }
  outcome<command> decoded = Capture<command>([&] { return DecodeCommand(record.data); });
  if (const error* failure = std::get_if<error>(&decoded)) {
    return Refused(failure->kind, failure->detail);
  }
  return std::visit([this](auto& alternative) { return ApplyCommand(alternative); },
                    std::get<command>(decoded));
}

command_result replicated_state::ApplyCommand(const std::monostate&) { return Applied(); }

template <class Change>
command_result replicated_state::ApplyCommand(Change&) {
  return Refused(error_kind::kMalformedRequest, "A membership change is not a command record.");
}

command_result replicated_state::CheckBase(const submit_manifest& command) const {
  if (accepted_digest_set_.contains(command.digest)) {
    command_result repeated = Applied();
    repeated.already_accepted = true;
    return repeated;
  }
  if (*command.base_version != manifest_->version) return Refused(error_kind::kManifestConflict);
  if (command.version <= manifest_->version) return Refused(error_kind::kManifestOutdated);
  return Applied();
}

void replicated_state::RecordAcceptedDigest(std::string digest) {
  if (!accepted_digest_set_.insert(digest).second) return;
  accepted_digests_.push_back(std::move(digest));
  if (accepted_digests_.size() <= limits_.max_accepted_manifests) return;
  accepted_digest_set_.erase(accepted_digests_.front());
  accepted_digests_.pop_front();
}

command_result replicated_state::ApplyCommand(submit_manifest& command) {
  if (command.version == 0) {
    return Refused(error_kind::kManifestInvalid, "The version must be above 0.");
  }
  if (command.base_version) {
    command_result checked = CheckBase(command);
    if (!checked.applied || checked.already_accepted) return checked;
  }
  if (command.version < manifest_->version) return Refused(error_kind::kManifestOutdated);
  if (command.version == manifest_->version) {
    if (command.digest != manifest_->digest) return Refused(error_kind::kManifestConflict);
    command_result repeated = Applied();
    repeated.already_accepted = true;
    return repeated;
  }
  RecordAcceptedDigest(command.digest);
  manifest_ = std::make_shared<const manifest_record>(
      manifest_record{command.version, std::move(command.digest), std::move(command.content)});
  return Applied();
}

command_result replicated_state::ApplyCommand(claim& command) {
  const digest128 identity = Digest({command.client_account, command.identity});
  const auto found = claims_.find(identity);
  if (found == claims_.end()) return GrantClaim(identity, command);
  const claim_entry& entry = found->second;
  if (entry.fingerprint != Digest({command.fingerprint})) {
    return RefusedClaim(claim_state::kFingerprintMismatch, error_kind::kIdentityMismatch);
  }
  command_result known = Applied();
  if (entry.answer) {
    known.claim_outcome = claim_state::kCompleted;
    known.answer = *entry.answer;
    return known;
  }
  if (entry.completed || entry.attempt != Digest({command.claim_attempt_id})) {
    return RefusedClaim(claim_state::kInProgress, error_kind::kIdentityInProgress);
  }
  // The same attempt proposes the claim again because it did not receive the result.
  known.claim_outcome = claim_state::kGranted;
  return known;
}

command_result replicated_state::GrantClaim(const digest128& identity, const claim& command) {
  if (claims_.size() >= limits_.max_claims) {
    return Refused(error_kind::kClaimUnavailable, "The table of claims is full.");
  }
  claim_entry entry;
  entry.fingerprint = Digest({command.fingerprint});
  entry.attempt = Digest({command.claim_attempt_id});
  entry.granted = time_;
  entry.sequence = next_sequence_++;
  expiry_queue_.push_back({identity, entry.sequence});
  claims_.emplace(identity, std::move(entry));
  command_result granted = Applied();
  granted.claim_outcome = claim_state::kGranted;
  return granted;
}

replicated_state::claim_entry* replicated_state::FindAttempt(const std::string& account,
                                                             const std::string& identity,
                                                             const std::string& attempt) {
  const auto found = claims_.find(Digest({account, identity}));
  if (found == claims_.end() || found->second.attempt != Digest({attempt})) return nullptr;
  return &found->second;
}

command_result replicated_state::ApplyCommand(complete_claim& command) {
  claim_entry* entry =
      FindAttempt(command.client_account, command.identity, command.claim_attempt_id);
  if (entry == nullptr) return Refused(error_kind::kNotFound, "The attempt holds no claim.");
  if (entry->completed) return Applied();
  entry->completed = true;
  const uint64_t bytes = SizeOf(command.answer);
  if (bytes > limits_.max_answer_bytes) return Applied();
  entry->answer = std::make_shared<const call_answer>(std::move(command.answer));
  answer_bytes_ += bytes;
  answer_queue_.push_back({Digest({command.client_account, command.identity}), entry->sequence});
  EvictOldAnswers();
  return Applied();
}

command_result replicated_state::ApplyCommand(release_claim& command) {
  const claim_entry* entry =
      FindAttempt(command.client_account, command.identity, command.claim_attempt_id);
  if (entry == nullptr || entry->completed) {
    return Refused(error_kind::kNotFound, "The attempt holds no open claim.");
  }
  claims_.erase(Digest({command.client_account, command.identity}));
  return Applied();
}

command_result replicated_state::ApplyCommand(quarantine_fingerprint& command) {
  if (quarantined_set_.contains(command.fingerprint)) return Applied();
  if (quarantined_.size() >= limits_.max_quarantined) {
    return Refused(error_kind::kOverloaded, "The quarantine list is full.");
  }
  quarantined_set_.insert(command.fingerprint);
  quarantined_.push_back(std::move(command.fingerprint));
  return Applied();
}

void replicated_state::ExpireClaims() {
  const auto is_current = [this](const claim_reference& reference) {
    const auto found = claims_.find(reference.identity);
    return found != claims_.end() && found->second.sequence == reference.sequence;
  };
  while (!expiry_queue_.empty()) {
    const claim_reference& first = expiry_queue_.front();
    if (is_current(first)) {
      const auto found = claims_.find(first.identity);
      if (found->second.granted + limits_.claim_retention > time_) break;
      RemoveAnswer(found->second);
      claims_.erase(found);
    }
    expiry_queue_.pop_front();
  }
  // Released and expired claims leave stale entries, which must not accumulate.
  for (std::deque<claim_reference>* queue : {&expiry_queue_, &answer_queue_}) {
    if (queue->size() <= 2 * claims_.size() + kQueuePurgeMargin) continue;
    queue->erase(std::remove_if(queue->begin(), queue->end(), std::not_fn(is_current)),
                 queue->end());
  }
}

void replicated_state::EvictOldAnswers() {
  while (answer_bytes_ > limits_.max_total_answer_bytes && !answer_queue_.empty()) {
    const claim_reference oldest = answer_queue_.front();
    answer_queue_.pop_front();
    const auto found = claims_.find(oldest.identity);
    if (found != claims_.end() && found->second.sequence == oldest.sequence) {
      RemoveAnswer(found->second);
    }
  }
}

void replicated_state::RemoveAnswer(claim_entry& entry) {
  if (!entry.answer) return;
  answer_bytes_ -= SizeOf(*entry.answer);
  entry.answer.reset();
}

std::vector<std::string> replicated_state::Quarantined(uint64_t from) const {
  if (from >= quarantined_.size()) return {};
  return {quarantined_.begin() + static_cast<std::ptrdiff_t>(from), quarantined_.end()};
}

}  // namespace teaseljunction
