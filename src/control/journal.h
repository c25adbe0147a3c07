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

struct frame_scan;

/// Interface for the durable state of a member. Not thread-safe. After `Load` has failed, no other
/// function may be called.
///
/// A disk may refuse writes for a while, for example when it is full. After `Append` or
/// `Checkpoint` has failed, data that were durable before are unchanged, but it is unknown whether
/// a restart would find the data of the failed call. The caller must not act on these data. It may
/// repeat the call or make another one, except after a failed `Checkpoint` of data that it does not
/// store yet: that one must be repeated first.
class raft_storage {
 public:
  virtual ~raft_storage() = default;

  /// Returns the stored log. Stores no data, so that a full disk does not prevent it. Must be
  /// called once, before the other functions. What it returns is durable only after the next
  /// successful call, since the process may have been killed between a write and its sync. In an
  /// empty directory the `member_id` is 0. Errors: kStorageCorrupt when durable data is damaged or
  /// missing; kStorageFailed.
  virtual result<stored_log> Load() = 0;

  /// Makes the state, unless it is null, and the records durable with one sync. A record replaces
  /// all stored records with the same or a higher index. Errors: kStorageFailed.
  virtual result<void> Append(const hard_state* state, absl::Span<const log_record> records) = 0;

  /// Replaces the stored data by a snapshot, the state and the records after the snapshot, and
  /// makes them durable. Data that are no longer needed may stay stored for longer. Errors:
  /// kStorageFailed.
  virtual result<void> Checkpoint(const log_snapshot& snapshot, const hard_state& state,
                                  absl::Span<const log_record> records) = 0;
};

/// Stores the log in append-only segment files and each snapshot in a file of its own, all in one
/// directory.
///
/// A segment is a sequence of frames, one for each sync: length of the body in bytes (32 bits),
/// checksum of the length (32 bits), body, checksum of the body (64 bits), all little-endian.
/// Checksums are XXH3, since the Abseil release in use has no CRC32C. `Checkpoint` starts a new
/// segment, whose first frame repeats the state and the records after the snapshot, and then
/// removes the older files.
///
/// Each frame names the length of its segment that was durable when the frame was written. After
/// each sync an empty frame, the mark, is written that names the length including this sync; the
/// next sync makes the mark durable. The mark behind the last frame of a segment is made durable
/// before the next segment is created.
///
/// After a failed write or sync, the next call first truncates the segment to the length that the
/// last successful sync covers, and then writes the whole frame again: a second sync alone would
/// succeed although the kernel may have dropped the data.
///
/// At load, a damaged frame in the last segment counts as a torn write that was never acknowledged
/// unless a whole frame behind it names a durable length that includes it. A torn write is ignored,
/// with all that follows it, until the first write removes it. Everything else is damage: the
/// member may have voted or acknowledged a record. A frame that was synced right before a power
/// loss, and whose mark was lost in it, cannot be told from a torn write.
///
/// Frames of earlier releases name no durable length. Behind such a frame, a complete frame with a
/// wrong checksum is damage, as it was for these releases. The first write behind such a frame
/// adds a mark and syncs it. Earlier releases read segments with marks, and take a torn
/// write or a torn mark for damage.
class file_journal : public raft_storage {
 public:
  /// `files` must outlive the journal.
  file_journal(file_system& files, std::string directory);

  result<stored_log> Load() override;
  result<void> Append(const hard_state* state, absl::Span<const log_record> records) override;
  result<void> Checkpoint(const log_snapshot& snapshot, const hard_state& state,
                          absl::Span<const log_record> records) override;

 private:
  // The result of replaying the frames of all segments.
  struct replay_state {
    hard_state state;
    uint64_t base_index = 0;
    uint64_t base_term = 0;
    std::vector<log_record> records;
    size_t frames = 0;
    // True if the last frame names the durable length.
    bool names_durable_length = false;
  };

  result<void> ScanDirectory();
  result<void> ReplaySegment(uint64_t number, bool last, replay_state& replayed);
  static bool IsUnsynced(absl::string_view content, const frame_scan& scan,
                         const replay_state& replayed);
  static result<void> ReplayFrame(absl::string_view body, replay_state& replayed);
  result<log_snapshot> ReadSnapshot(uint64_t index);
  result<stored_log> BuildStoredLog(replay_state replayed);
  result<void> WriteSnapshot(const log_snapshot& snapshot);
  result<void> WriteFrame(journal_frame frame);
  // Writes a mark for the last sync, and leaves `mark_bytes_` at 0 if the disk refuses it.
  void WriteMark();
  // Makes the mark at the end of the last segment durable.
  result<void> SyncMark();
  // Starts a segment with a base frame and removes the files before it.
  result<void> WriteBase(journal_frame frame);
  static result<void> Write(append_file& file, absl::string_view bytes);
  static result<void> WriteAndSync(append_file& file, absl::string_view bytes);
  result<void> OpenLastSegment();
  // Removes what a failed operation or a restart has left behind, and makes the rest durable.
  result<void> Repair();
  result<void> RemoveTemporaryFiles();
  result<void> RemoveOlderFiles(uint64_t first_segment, uint64_t first_snapshot);
  // Leaves files that can't be removed to the next call.
  void RemoveOlderFilesIfPossible(uint64_t first_segment, uint64_t first_snapshot);
  std::string SegmentPath(uint64_t number) const;
  std::string SnapshotPath(uint64_t index) const;

  // Runs an operation that writes, after a repair if it is the first one or the previous one has
  // failed.
  template <class Operation>
  result<void> RunRepaired(Operation&& operation);

  file_system& files_;
  std::string directory_;
  std::unique_ptr<directory_lock> lock_;
  std::vector<uint64_t> segments_;
  std::vector<uint64_t> snapshots_;
  // The last segment. Null only while a repair is necessary.
  std::unique_ptr<append_file> segment_;
  // Length of the last segment that is durable, or will be after a repair, in bytes.
  size_t durable_bytes_ = 0;
  // Size of the mark behind the durable data, in bytes.
  size_t mark_bytes_ = 0;
  // True if the last segment was written by an earlier release and has no mark.
  bool needs_first_mark_ = false;
  uint64_t member_id_ = 0;
  bool needs_repair_ = false;
  // The base frame that a checkpoint before the last restart has not written, although its snapshot
  // is stored.
  absl::optional<journal_frame> unfinished_base_;
};

}  // namespace teaseljunction
