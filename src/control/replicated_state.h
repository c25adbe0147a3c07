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

/// Limits of the replicated state. All members of a group must use the same values, since they
/// decide how a record is applied.
struct replicated_state_limits {
  /// Time after which a claim is forgotten, counted from its grant.
  absl::Duration claim_retention = absl::Hours(24);
  /// Claims kept at once. New ones are refused (kClaimUnavailable) above it.
  uint64_t claims = 1'000'000;
  /// Largest response that is recorded, in bytes of headers and body.
  uint64_t answer_bytes = 64 * 1024;
  /// Bytes of all recorded responses. The oldest are dropped above it.
  uint64_t total_answer_bytes = 32 * 1024 * 1024;
  /// Fingerprints in the quarantine list. New ones are refused (kOverloaded) above it.
  uint64_t quarantined = 10'000;
  /// Accepted manifests that are recognised when they are submitted again.
  uint64_t accepted_manifests = 4'096;
};

/// The state that every control member derives from the committed records. Two members that have
/// applied the same records hold the same state. Not thread-safe.
///
/// Results of `claim`: `applied` is true for kGranted and kCompleted. Otherwise `failure` is
/// kIdentityInProgress, kIdentityMismatch or kClaimUnavailable. A claim whose response was too
/// large to record, or was dropped, is reported as kInProgress until it expires.
class replicated_state {
 public:
  replicated_state() = default;
  explicit replicated_state(const replicated_state_limits& limits) : limits_(limits) {}

  /// Applies one committed record. Records must come in index order without gaps.
  command_result Apply(const log_record& record);

  /// The manifest in force; its version is 0 when there is none. Never null.
  std::shared_ptr<const manifest_record> Manifest() const { return manifest_; }

  /// Quarantined fingerprints in the order in which they were added, from position `from`.
  std::vector<std::string> Quarantined(uint64_t from) const;
  uint64_t QuarantineSize() const { return quarantined_.size(); }

  const group_configuration& Configuration() const { return configuration_; }

  /// Replicated time of the last record.
  absl::Time Time() const { return time_; }

  uint64_t AppliedIndex() const { return index_; }
  uint64_t ClaimCount() const { return claims_.size(); }

  /// Returns the state as a snapshot.
  log_snapshot Snapshot() const;

  /// Replaces the state by a snapshot. Errors: kStorageCorrupt when it cannot be decoded; the state
  /// is then unchanged.
  result<void> Restore(const log_snapshot& snapshot);

 private:
  // Claims store 128-bit digests instead of texts, so that a claim has a small fixed size.
  using digest128 = std::array<uint64_t, 2>;

  struct claim_entry {
    digest128 fingerprint;
    digest128 attempt;
    absl::Time granted;
    // Counts the grants, so that an outdated position of the expiry queue is recognised.
    uint64_t sequence = 0;
    bool completed = false;
    std::shared_ptr<const call_answer> answer;
  };

  struct queue_entry {
    digest128 identity;
    uint64_t sequence = 0;
  };

  command_result ApplyCommand(const std::monostate&);
  command_result ApplyCommand(submit_manifest& command);
  command_result ApplyCommand(claim& command);
  command_result ApplyCommand(complete& command);
  command_result ApplyCommand(release& command);
  command_result ApplyCommand(quarantine_request& command);
  // Membership changes are applied as configuration records; as commands they are refused.
  template <class Change>
  command_result ApplyCommand(Change&);

  command_result CheckBase(const submit_manifest& command) const;
  void RememberAccepted(std::string digest);
  command_result GrantClaim(const digest128& identity, const claim& command);
  claim_entry* FindAttempt(const std::string& account, const std::string& identity,
                           const std::string& attempt);
  void ExpireClaims();
  void DropOldAnswers();
  void RemoveAnswer(claim_entry& entry);

  static digest128 Digest(absl::Span<const absl::string_view> fields);
  friend class state_codec;

  replicated_state_limits limits_;
  uint64_t index_ = 0;
  uint64_t term_ = 0;
  absl::Time time_ = absl::UnixEpoch();
  std::shared_ptr<const manifest_record> manifest_ = std::make_shared<manifest_record>();
  absl::flat_hash_map<digest128, claim_entry> claims_;
  // Claims in the order of their grants, which is also the order of their expiry.
  std::deque<queue_entry> expiry_queue_;
  // Claims with a recorded response, in the order in which the responses came.
  std::deque<queue_entry> answer_queue_;
  uint64_t next_sequence_ = 1;
  uint64_t answer_bytes_ = 0;
  // Digests of the manifests that were accepted last, oldest first.
  std::deque<std::string> accepted_;
  absl::flat_hash_set<std::string> accepted_set_;
  std::vector<std::string> quarantined_;
  absl::flat_hash_set<std::string> quarantined_set_;
  group_configuration configuration_;
};

}  // namespace teaseljunction
