#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "absl/types/optional.h"
#include "control/types.h"

namespace teaseljunction {

/// The part of the log that a replica holds in memory: the latest snapshot, and the records after
/// the base, an index that is at most the snapshot's index. Not thread-safe.
class raft_log {
 public:
  raft_log() = default;
  /// `records` must follow the snapshot without a gap.
  raft_log(absl::optional<log_snapshot> snapshot, std::vector<log_record> records);

  uint64_t BaseIndex() const { return base_index_; }
  uint64_t LastIndex() const { return base_index_ + records_.size(); }
  uint64_t LastTerm() const { return records_.empty() ? base_term_ : records_.back().term; }
  absl::Time LastTime() const { return records_.empty() ? base_time_ : records_.back().time; }
  /// Size of the records in memory, in bytes.
  uint64_t Bytes() const { return BytesBetween(base_index_, LastIndex()); }
  /// Size of the records in memory with an index above `after` and at most `last`, in bytes.
  uint64_t BytesBetween(uint64_t after, uint64_t last) const;

  /// Returns the term of a record, or nullopt if it is before the base or after the last record.
  absl::optional<uint64_t> TermAt(uint64_t index) const;

  /// Returns a record. `index` must be above `BaseIndex()` and at most `LastIndex()`.
  const log_record& At(uint64_t index) const { return records_[index - base_index_ - 1]; }

  /// Returns copies of the records in memory with an index above `index`.
  std::vector<log_record> RecordsAfter(uint64_t index) const;

  /// Appends a record. A record with the index of an existing one replaces it and all later ones.
  void Append(log_record record);

  /// Replaces the log by a snapshot. Records after the snapshot are kept if the log holds the last
  /// record that the snapshot covers.
  void Install(const log_snapshot& snapshot);

  /// Stores the snapshot and drops records that it covers, so that at most `retained_records` of
  /// them are left, with at most `retained_bytes` together.
  void Compact(const log_snapshot& snapshot, uint64_t retained_records, uint64_t retained_bytes);

  const absl::optional<log_snapshot>& Snapshot() const { return snapshot_; }

  /// The latest configuration in the log, committed or not.
  const group_configuration& Configuration() const { return configuration_; }
  /// Index of the record or snapshot that holds the latest configuration.
  uint64_t ConfigurationIndex() const { return configuration_index_; }

 private:
  void TruncateFrom(uint64_t index);
  void DropUpTo(uint64_t index);
  void RecomputeConfiguration();
  static uint64_t SizeOf(const log_record& record);
  // Size of all records that were ever appended up to this one and not truncated, in bytes.
  uint64_t EndOf(uint64_t index) const;

  uint64_t base_index_ = 0;
  uint64_t base_term_ = 0;
  absl::Time base_time_ = absl::UnixEpoch();
  std::deque<log_record> records_;
  // `EndOf` the base and each record.
  uint64_t base_end_ = 0;
  std::deque<uint64_t> ends_;
  absl::optional<log_snapshot> snapshot_;
  group_configuration configuration_;
  uint64_t configuration_index_ = 0;
};

}  // namespace teaseljunction
