#include "control/journal.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "common/log.h"
#include "control/internal/frame.h"

namespace teaseljunction {
namespace {

constexpr absl::string_view kSegmentPrefix = "segment-";
constexpr absl::string_view kSnapshotPrefix = "snapshot-";
constexpr absl::string_view kTemporarySuffix = ".tmp";

boost::leaf::error_id CorruptError(std::string detail) {
  return Fail(error_kind::kStorageCorrupt, std::move(detail));
}

void AppendFileNumber(absl::string_view name, absl::string_view prefix,
                      std::vector<uint64_t>& numbers) {
  uint64_t number = 0;
  if (!absl::StartsWith(name, prefix)) return;
  if (absl::SimpleAtoi(name.substr(prefix.size()), &number)) numbers.push_back(number);
}

std::string EncodeMark(uint64_t durable_bytes, uint64_t writer_id) {
  journal_frame mark;
  mark.durable_bytes = durable_bytes;
  mark.writer_id = writer_id;
  return WrapFrame(EncodeFrame(mark));
}

// Size of a mark in bytes. All other frames are larger.
size_t MarkBytes() {
  static const size_t bytes = EncodeMark(0, 0).size();
  return bytes;
}

journal_frame BaseFrame(const log_snapshot& snapshot, const hard_state& state,
                        absl::Span<const log_record> records) {
  journal_frame frame;
  frame.state = state;
  frame.base = true;
  frame.base_index = snapshot.index;
  frame.base_term = snapshot.term;
  frame.records.assign(records.begin(), records.end());
  return frame;
}

}  // namespace

file_journal::file_journal(file_system& files, std::string directory)
    : files_(files), directory_(std::move(directory)) {}

std::string file_journal::SegmentPath(uint64_t number) const {
  return absl::StrCat(directory_, "/", kSegmentPrefix, number);
}

std::string file_journal::SnapshotPath(uint64_t index) const {
  return absl::StrCat(directory_, "/", kSnapshotPrefix, index);
}

result<void> file_journal::RemoveTemporaryFiles() {
  BOOST_LEAF_AUTO(names, files_.List(directory_));
  for (const std::string& name : names) {
    if (!absl::EndsWith(name, kTemporarySuffix)) continue;
    BOOST_LEAF_CHECK(files_.Remove(absl::StrCat(directory_, "/", name)));
  }
  return {};
}

result<void> file_journal::ScanDirectory() {
  BOOST_LEAF_AUTO(names, files_.List(directory_));
  for (const std::string& name : names) {
    AppendFileNumber(name, kSegmentPrefix, segments_);
    AppendFileNumber(name, kSnapshotPrefix, snapshots_);
  }
  std::sort(segments_.begin(), segments_.end());
  std::sort(snapshots_.begin(), snapshots_.end());
  return {};
}

result<stored_log> file_journal::Load() {
  BOOST_LEAF_CHECK(files_.CreateDirectory(directory_));
  BOOST_LEAF_ASSIGN(lock_, files_.Lock(directory_));
  BOOST_LEAF_CHECK(ScanDirectory());
  needs_repair_ = true;
  replay_state replayed;
  for (size_t i = 0; i < segments_.size(); ++i) {
    if (segments_[i] != segments_.front() + i) return CorruptError("A segment is missing.");
    const bool last = i + 1 == segments_.size();
    const size_t frames = replayed.frames;
    const size_t bytes = durable_bytes_;
    BOOST_LEAF_CHECK(ReplaySegment(segments_[i], last, replayed));
    if (last && i > 0 && replayed.frames == frames) {
      // An interrupted checkpoint has not written the base frame.
      segments_.pop_back();
      durable_bytes_ = bytes;
    }
  }
  if (replayed.frames == 0) {
    // The member has never acknowledged anything, unless files were lost.
    const bool is_new = segments_.empty() || segments_ == std::vector<uint64_t>{1};
    if (!snapshots_.empty() || !is_new) return CorruptError("The log is missing.");
    segments_ = {1};
    return stored_log{};
  }
  member_id_ = replayed.state.member_id;
  needs_first_mark_ = !replayed.names_durable_length;
  return BuildStoredLog(std::move(replayed));
}

result<void> file_journal::ReplaySegment(uint64_t number, bool last, replay_state& replayed) {
  BOOST_LEAF_AUTO(content, files_.Read(SegmentPath(number)));
  const frame_scan scan = ScanFrames(content);
  for (const absl::string_view body : scan.bodies) BOOST_LEAF_CHECK(ReplayFrame(body, replayed));
  if (scan.tail != frame_scan::tail_state::kClean) {
    // A segment is complete and synced, with its last mark, before the next one is created.
    if (!last || !IsUnsynced(content, scan, replayed)) {
      return CorruptError(
          absl::StrCat("Segment ", number, " is damaged at byte ", scan.valid_bytes, "."));
    }
    LOG(INFO) << "control: segment " << number << " ends in a torn write of "
              << content.size() - scan.valid_bytes << " bytes, which is ignored";
  }
  durable_bytes_ = scan.valid_bytes;
  return {};
}

bool file_journal::IsUnsynced(absl::string_view content, const frame_scan& scan,
                              const replay_state& replayed) {
  if (scan.tail == frame_scan::tail_state::kTruncated) return true;
  for (const absl::string_view body : FindFramesBehind(content, scan.valid_bytes)) {
    const outcome<journal_frame> decoded =
        Capture<journal_frame>([&] { return DecodeFrame(body); });
    const auto* frame = std::get_if<journal_frame>(&decoded);
    if (frame == nullptr) continue;
    // Earlier releases, too, wrote a frame only after the sync of the one before.
    if (frame->writer_id == 0) return false;
    const bool own = replayed.state.member_id == 0 || frame->writer_id == replayed.state.member_id;
    if (own && frame->durable_bytes > scan.valid_bytes) return false;
  }
  // Behind a frame of an earlier release, only the first mark is known to be unsynced.
  const bool earlier_release = replayed.frames > 0 && !replayed.names_durable_length;
  return !earlier_release || scan.tail_bytes <= MarkBytes();
}

result<void> file_journal::ReplayFrame(absl::string_view body, replay_state& replayed) {
  outcome<journal_frame> decoded = Capture<journal_frame>([&] { return DecodeFrame(body); });
  if (std::holds_alternative<error>(decoded)) return CorruptError("A record cannot be decoded.");
  journal_frame& frame = std::get<journal_frame>(decoded);
  ++replayed.frames;
  replayed.names_durable_length = frame.writer_id != 0;
  if (frame.state) replayed.state = std::move(*frame.state);
  if (frame.base) {
    replayed.base_index = frame.base_index;
    replayed.base_term = frame.base_term;
    replayed.records.clear();
  }
  for (log_record& record : frame.records) {
    const uint64_t next = replayed.base_index + replayed.records.size() + 1;
    if (record.index > next || record.index <= replayed.base_index) {
      return CorruptError("The log has a gap.");
    }
    replayed.records.resize(record.index - replayed.base_index - 1);
    replayed.records.push_back(std::move(record));
  }
  return {};
}

result<log_snapshot> file_journal::ReadSnapshot(uint64_t index) {
  BOOST_LEAF_AUTO(content, files_.Read(SnapshotPath(index)));
  const frame_scan scan = ScanFrames(content);
  if (scan.tail != frame_scan::tail_state::kClean || scan.bodies.size() != 1) {
    return CorruptError(absl::StrCat("Snapshot ", index, " is damaged."));
  }
  outcome<log_snapshot> decoded =
      Capture<log_snapshot>([&] { return DecodeSnapshot(scan.bodies.front()); });
  if (std::holds_alternative<error>(decoded)) return CorruptError("A snapshot cannot be decoded.");
  return std::get<log_snapshot>(std::move(decoded));
}

result<stored_log> file_journal::BuildStoredLog(replay_state replayed) {
  if (replayed.state.member_id == 0) return CorruptError("The member id is missing.");
  stored_log stored;
  stored.state = std::move(replayed.state);
  if (stored.state.group_id == 0) {
    // Snapshots are left over if the member crashed while it started or joined a group.
    BOOST_LEAF_CHECK(RemoveOlderFiles(segments_.front(), std::numeric_limits<uint64_t>::max()));
    return stored;
  }
  if (snapshots_.empty()) {
    if (replayed.base_index != 0 || !replayed.records.empty()) {
      return CorruptError("A snapshot is missing.");
    }
    return stored;
  }
  BOOST_LEAF_AUTO(snapshot, ReadSnapshot(snapshots_.back()));
  stored.snapshot = snapshot;
  if (snapshot.index < replayed.base_index) return CorruptError("A snapshot is missing.");
  if (snapshot.index == replayed.base_index) {
    stored.records = std::move(replayed.records);
    return stored;
  }
  // The member stopped after it had stored the snapshot and before the segment of that snapshot was
  // durable.
  const uint64_t covered = snapshot.index - replayed.base_index;
  const bool log_continues =
      covered <= replayed.records.size() && replayed.records[covered - 1].term == snapshot.term;
  if (log_continues) {
    replayed.records.erase(replayed.records.begin(),
                           replayed.records.begin() + static_cast<std::ptrdiff_t>(covered));
    stored.records = std::move(replayed.records);
  } else {
    unfinished_base_ = BaseFrame(snapshot, stored.state, {});
  }
  return stored;
}

template <class Operation>
result<void> file_journal::RunRepaired(Operation&& operation) {
  if (needs_repair_) BOOST_LEAF_CHECK(Repair());
  needs_repair_ = true;
  if (unfinished_base_) {
    BOOST_LEAF_CHECK(WriteBase(*unfinished_base_));
    unfinished_base_.reset();
    if (mark_bytes_ == 0) BOOST_LEAF_CHECK(Repair());
  }
  BOOST_LEAF_CHECK(operation());
  // The operation has succeeded without its mark as well, but a part of the mark may be written.
  needs_repair_ = mark_bytes_ == 0;
  return {};
}

result<void> file_journal::Repair() {
  segment_.reset();
  BOOST_LEAF_CHECK(RemoveTemporaryFiles());
  // A checkpoint that failed or was interrupted may have created the next segment.
  BOOST_LEAF_CHECK(files_.Remove(SegmentPath(segments_.back() + 1)));
  BOOST_LEAF_CHECK(OpenLastSegment());
  mark_bytes_ = 0;
  BOOST_LEAF_CHECK(files_.Truncate(SegmentPath(segments_.back()), durable_bytes_));
  if (!needs_first_mark_) return {};
  const std::string mark = EncodeMark(durable_bytes_, member_id_);
  BOOST_LEAF_CHECK(WriteAndSync(*segment_, mark));
  durable_bytes_ += mark.size();
  needs_first_mark_ = false;
  return {};
}

void file_journal::WriteMark() {
  const std::string mark = EncodeMark(durable_bytes_, member_id_);
  const outcome<size_t> written = Capture<size_t>([&]() -> result<size_t> {
    BOOST_LEAF_CHECK(Write(*segment_, mark));
    return mark.size();
  });
  const size_t* bytes = std::get_if<size_t>(&written);
  mark_bytes_ = bytes == nullptr ? 0 : *bytes;
}

result<void> file_journal::SyncMark() {
  if (mark_bytes_ == 0) return {};
  BOOST_LEAF_CHECK(segment_->Sync());
  durable_bytes_ += std::exchange(mark_bytes_, 0);
  return {};
}

result<void> file_journal::Append(const hard_state* state, absl::Span<const log_record> records) {
  return RunRepaired([&]() -> result<void> {
    journal_frame frame;
    if (state != nullptr) {
      frame.state = *state;
      member_id_ = state->member_id;
    }
    frame.records.assign(records.begin(), records.end());
    return WriteFrame(std::move(frame));
  });
}

result<void> file_journal::Checkpoint(const log_snapshot& snapshot, const hard_state& state,
                                      absl::Span<const log_record> records) {
  return RunRepaired([&]() -> result<void> {
    member_id_ = state.member_id;
    BOOST_LEAF_CHECK(WriteSnapshot(snapshot));
    return WriteBase(BaseFrame(snapshot, state, records));
  });
}

result<void> file_journal::WriteBase(journal_frame frame) {
  const uint64_t base_index = frame.base_index;
  if (durable_bytes_ == 0) {
    BOOST_LEAF_CHECK(WriteFrame(std::move(frame)));
  } else {
    // Used only once its base frame is durable, since it must be readable without the segments
    // before it.
    BOOST_LEAF_CHECK(SyncMark());
    const uint64_t number = segments_.back() + 1;
    frame.writer_id = member_id_;
    const std::string bytes = WrapFrame(EncodeFrame(frame));
    BOOST_LEAF_AUTO(segment, files_.OpenAppend(SegmentPath(number)));
    BOOST_LEAF_CHECK(files_.SyncDirectory(directory_));
    BOOST_LEAF_CHECK(WriteAndSync(*segment, bytes));
    segment_ = std::move(segment);
    segments_.push_back(number);
    durable_bytes_ = bytes.size();
    WriteMark();
  }
  RemoveOlderFilesIfPossible(segments_.back(), base_index);
  return {};
}

result<void> file_journal::WriteSnapshot(const log_snapshot& snapshot) {
  const std::string path = SnapshotPath(snapshot.index);
  const std::string temporary = absl::StrCat(path, kTemporarySuffix);
  {
    BOOST_LEAF_AUTO(file, files_.OpenAppend(temporary));
    BOOST_LEAF_CHECK(WriteAndSync(*file, WrapFrame(EncodeSnapshot(snapshot))));
  }
  BOOST_LEAF_CHECK(files_.Rename(temporary, path));
  if (snapshots_.empty() || snapshots_.back() != snapshot.index) {
    snapshots_.push_back(snapshot.index);
  }
  return files_.SyncDirectory(directory_);
}

result<void> file_journal::OpenLastSegment() {
  BOOST_LEAF_ASSIGN(segment_, files_.OpenAppend(SegmentPath(segments_.back())));
  return files_.SyncDirectory(directory_);
}

result<void> file_journal::WriteFrame(journal_frame frame) {
  frame.durable_bytes = durable_bytes_;
  frame.writer_id = member_id_;
  const std::string bytes = WrapFrame(EncodeFrame(frame));
  BOOST_LEAF_CHECK(WriteAndSync(*segment_, bytes));
  durable_bytes_ += mark_bytes_ + bytes.size();
  WriteMark();
  return {};
}

result<void> file_journal::Write(append_file& file, absl::string_view bytes) {
  while (!bytes.empty()) {
    BOOST_LEAF_AUTO(written, file.Write(bytes));
    bytes.remove_prefix(written);
  }
  return {};
}

result<void> file_journal::WriteAndSync(append_file& file, absl::string_view bytes) {
  BOOST_LEAF_CHECK(Write(file, bytes));
  return file.Sync();
}

result<void> file_journal::RemoveOlderFiles(uint64_t first_segment, uint64_t first_snapshot) {
  // Removes the oldest files first and makes each removal durable before the next one, so that a
  // crash or a power loss in between leaves no gap.
  while (segments_.front() < first_segment) {
    BOOST_LEAF_CHECK(files_.Remove(SegmentPath(segments_.front())));
    segments_.erase(segments_.begin());
    BOOST_LEAF_CHECK(files_.SyncDirectory(directory_));
  }
  while (!snapshots_.empty() && snapshots_.front() < first_snapshot) {
    BOOST_LEAF_CHECK(files_.Remove(SnapshotPath(snapshots_.front())));
    snapshots_.erase(snapshots_.begin());
    BOOST_LEAF_CHECK(files_.SyncDirectory(directory_));
  }
  return {};
}

void file_journal::RemoveOlderFilesIfPossible(uint64_t first_segment, uint64_t first_snapshot) {
  const outcome<bool> removed = Capture<bool>([&]() -> result<bool> {
    BOOST_LEAF_CHECK(RemoveOlderFiles(first_segment, first_snapshot));
    return true;
  });
  if (const error* failure = std::get_if<error>(&removed)) {
    LOG(WARNING) << "control: older files stay until the next snapshot: " << failure->detail;
  }
}

}  // namespace teaseljunction
