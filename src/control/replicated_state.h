#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "common/result.h"
#include "control/types.h"

namespace teaseljunction {

/// Limits of the replicated state. All members of a group must use the same values, since the
/// result of applying a record depends on them.
struct replicated_state_limits {
  /// Replicated time after which a claim expires, counted from its grant.
  absl::Duration claim_retention = absl::Hours(24);
  /// Largest number of claims. Further claims fail with kClaimUnavailable.
  uint64_t max_claims = 1'000'000;
  /// Largest response that is recorded, in bytes of headers and body.
  uint64_t max_answer_bytes = 64 * 1024;
  /// Largest total size of the recorded responses, in bytes. Above it, the oldest are evicted.
  uint64_t max_total_answer_bytes = 32 * 1024 * 1024;
  /// Largest number of quarantined fingerprints. Further ones fail with kOverloaded.
  uint64_t max_quarantined = 10'000;
  /// Number of most recently accepted manifests that are recognised when submitted again.
  uint64_t max_accepted_manifests = 4'096;
};

/// The state machine of the control group: applies committed records deterministically, so that
/// members that have applied the same records hold the same state. Not thread-safe.
///
/// Results of `claim`: `applied` is true for kGranted and kCompleted. Otherwise `failure` is
/// kIdentityInProgress, kIdentityMismatch or kClaimUnavailable. A claim whose response was too
/// large to record, or was evicted, is reported as kInProgress until it expires.
class replicated_state {
 public:
  replicated_state() = default;
  explicit replicated_state(const replicated_state_limits& limits) : limits_(limits) {}

  /// Applies one committed record. Records must be applied in index order without gaps. A record
  /// that cannot be decoded is refused with kMalformedRequest.
  command_result Apply(const log_record& record);

  /// The manifest in force. Never null; version 0 means that there is none.
  std::shared_ptr<const manifest_record> Manifest() const { return manifest_; }

  /// Quarantined fingerprints in the order in which they were added, from position `from`.
  std::vector<std::string> Quarantined(uint64_t from) const;
  uint64_t QuarantineSize() const { return quarantined_.size(); }

  const group_configuration& Configuration() const { return configuration_; }

  /// Replicated time of the last applied record.
  absl::Time Time() const { return time_; }

  uint64_t AppliedIndex() const { return applied_index_; }
  uint64_t ClaimCount() const { return claims_.size(); }

  /// Returns the state as a snapshot.
  log_snapshot Snapshot() const;

  /// Replaces the state by a snapshot. Errors: kStorageCorrupt when the snapshot cannot be decoded;
  /// the state is then unchanged.
  result<void> Restore(const log_snapshot& snapshot);

 private:
  // Claims store 128-bit digests instead of strings, so that their size is small and fixed.
  using digest128 = std::array<uint64_t, 2>;

  struct claim_entry {
    digest128 fingerprint;
    digest128 attempt;
    absl::Time granted;
    // Number of the grant. Queue entries with another number are stale.
    uint64_t sequence = 0;
    bool completed = false;
    std::shared_ptr<const call_answer> answer;
  };

  // A queue entry. It is stale when the claim is gone or has another sequence number.
  struct claim_reference {
    digest128 identity;
    uint64_t sequence = 0;
  };

  command_result ApplyCommand(const std::monostate&);
  command_result ApplyCommand(submit_manifest& command);
  command_result ApplyCommand(claim& command);
  command_result ApplyCommand(complete_claim& command);
  command_result ApplyCommand(release_claim& command);
  command_result ApplyCommand(quarantine_fingerprint& command);
  // Membership changes are replicated as configuration records; as command records they are
  // refused.
  template <class Change>
  command_result ApplyCommand(Change&);

  command_result CheckBase(const submit_manifest& command) const;
  void RecordAcceptedDigest(std::string digest);
  command_result GrantClaim(const digest128& identity, const claim& command);
  claim_entry* FindAttempt(const std::string& account, const std::string& identity,
                           const std::string& attempt);
  void ExpireClaims();
  void EvictOldAnswers();
  void RemoveAnswer(claim_entry& entry);

  static digest128 Digest(absl::Span<const absl::string_view> fields);
  friend class state_codec;

  replicated_state_limits limits_;
  uint64_t applied_index_ = 0;
  uint64_t applied_term_ = 0;
  absl::Time time_ = absl::UnixEpoch();
  std::shared_ptr<const manifest_record> manifest_ = std::make_shared<manifest_record>();
  absl::flat_hash_map<digest128, claim_entry> claims_;
  // Claims in the order of their grants, which is also the order in which they expire.
  std::deque<claim_reference> expiry_queue_;
  // Claims with a recorded response, in the order in which the responses were recorded.
  std::deque<claim_reference> answer_queue_;
  uint64_t next_sequence_ = 1;
  uint64_t answer_bytes_ = 0;
  // Digests of the most recently accepted manifests, oldest first.
  std::deque<std::string> accepted_digests_;
  absl::flat_hash_set<std::string> accepted_digest_set_;
  std::vector<std::string> quarantined_;
  absl::flat_hash_set<std::string> quarantined_set_;
  group_configuration configuration_;
};

}  // namespace teaseljunction
