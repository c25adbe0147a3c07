#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "common/result.h"
#include "control/codec.h"
#include "control/file_system.h"
#include "control/raft_replica.h"
#include "control/types.h"

namespace teaseljunction {

/// Port for the durable state of a member. After an error other than kStorageCorrupt at `Load`, all
/// further calls fail with kStorageFailed, and the member must stop: what is on disk is then
/// unknown.
class control_storage {
 public:
  virtual ~control_storage() = default;

  /// Returns what was stored. An empty folder gives a `member_id` of 0. To be called once, first.
  /// Errors: kStorageCorrupt when something that was durable is damaged or missing; kStorageFailed.
  virtual result<stored_log> Load() = 0;

  /// Makes the state, unless it is null, and the records durable with one sync. A record replaces
  /// all stored ones with its index or a higher one. Errors: kStorageFailed.
  virtual result<void> Append(const hard_state* state, absl::Span<const log_record> records) = 0;

  /// Replaces everything stored by a snapshot, the state and the records after the snapshot.
  /// Errors: kStorageFailed.
  virtual result<void> Checkpoint(const log_snapshot& snapshot, const hard_state& state,
                                  absl::Span<const log_record> records) = 0;
};

/// Stores the log in append-only segments and snapshots in one file each, all in one folder.
///
/// A segment is a sequence of frames, one for each group commit: length (32 bits), check of the
/// length (32 bits), body, checksum (64 bits), all little-endian. Checksums are XXH3, since the
/// Abseil release in use has no CRC32C. `Checkpoint` starts a new segment, whose first frame
/// repeats the state and the records after the snapshot, and then removes the older files.
///
/// At load a frame that was cut off at the end of the last segment was never acknowledged, and is
/// removed. A frame of full length with a wrong checksum is damage, also at the end, because it may
/// have been acknowledged.
class file_journal : public control_storage {
 public:
  /// `files` must outlive the journal.
  file_journal(file_system& files, std::string folder);

  result<stored_log> Load() override;
  result<void> Append(const hard_state* state, absl::Span<const log_record> records) override;
  result<void> Checkpoint(const log_snapshot& snapshot, const hard_state& state,
                          absl::Span<const log_record> records) override;

 private:
  // What the frames of all segments add up to.
  struct replay {
    hard_state state;
    uint64_t base_index = 0;
    uint64_t base_term = 0;
    std::vector<log_record> records;
    size_t frames = 0;
  };

  result<void> ListFiles();
  result<void> ReplaySegment(uint64_t number, bool last, replay& state);
  static result<void> ReplayFrame(absl::string_view body, replay& state);
  result<log_snapshot> ReadSnapshot(uint64_t index);
  result<stored_log> Combine(replay state);
  result<void> WriteSnapshot(const log_snapshot& snapshot);
  result<void> WriteFrame(const journal_frame& frame);
  result<void> WriteAndSync(append_file& file, absl::string_view bytes);
  result<void> OpenSegment(uint64_t number);
  result<void> RemoveBefore(uint64_t segment, uint64_t snapshot);
  std::string SegmentPath(uint64_t number) const;
  std::string SnapshotPath(uint64_t index) const;

  // Runs an operation that writes. A failure is remembered and makes all later ones fail.
  template <class Operation>
  result<void> Guard(Operation&& operation);

  file_system& files_;
  std::string folder_;
  std::unique_ptr<folder_lock> lock_;
  std::vector<uint64_t> segments_;
  std::vector<uint64_t> snapshots_;
  std::unique_ptr<append_file> segment_;
  bool failed_ = false;
};

}  // namespace teaseljunction
