#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "absl/types/optional.h"
#include "control/types.h"

namespace teaseljunction {

/// The part of the log that a replica holds in memory: the latest snapshot and the records after a
/// base, which is at or before the snapshot.
class raft_log {
 public:
  raft_log() = default;
  /// `records` follow the snapshot without a gap.
  raft_log(absl::optional<log_snapshot> snapshot, std::vector<log_record> records);

  uint64_t BaseIndex() const { return base_index_; }
  uint64_t LastIndex() const { return base_index_ + records_.size(); }
  uint64_t LastTerm() const { return records_.empty() ? base_term_ : records_.back().term; }
  absl::Time LastTime() const { return records_.empty() ? base_time_ : records_.back().time; }
  uint64_t Bytes() const { return bytes_; }

  /// Term of a record, or nothing when it is before the base or after the end.
  absl::optional<uint64_t> TermAt(uint64_t index) const;

  /// `index` must be above the base and at most `LastIndex()`.
  const log_record& At(uint64_t index) const { return records_[index - base_index_ - 1]; }

  std::vector<log_record> RecordsAfter(uint64_t index) const;

  /// Appends a record. One with the index of an existing record replaces it and all later ones.
  void Append(log_record record);

  /// Replaces the log by a snapshot. Later records are kept when the log holds the snapshot's last
  /// record.
  void Install(const log_snapshot& snapshot);

  /// Sets the snapshot and drops all but the last `kept` records that it covers.
  void Compact(const log_snapshot& snapshot, uint64_t kept);

  const absl::optional<log_snapshot>& Snapshot() const { return snapshot_; }

  const group_configuration& Configuration() const { return configuration_; }
  /// Index of the record or snapshot that holds the latest configuration.
  uint64_t ConfigurationIndex() const { return configuration_index_; }

 private:
  void TruncateFrom(uint64_t index);
  void DropUpTo(uint64_t index);
  void FindConfiguration();
  static uint64_t SizeOf(const log_record& record);

  uint64_t base_index_ = 0;
  uint64_t base_term_ = 0;
  absl::Time base_time_ = absl::UnixEpoch();
  std::deque<log_record> records_;
  uint64_t bytes_ = 0;
  absl::optional<log_snapshot> snapshot_;
  group_configuration configuration_;
  uint64_t configuration_index_ = 0;
};

}  // namespace teaseljunction
