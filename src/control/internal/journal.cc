#include "control/journal.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "control/internal/frame.h"

namespace teaseljunction {
namespace {

constexpr absl::string_view kSegmentPrefix = "segment-";
constexpr absl::string_view kSnapshotPrefix = "snapshot-";
constexpr absl::string_view kTemporarySuffix = ".tmp";

boost::leaf::error_id Corrupt(std::string detail) {
  return Fail(error_kind::kStorageCorrupt, std::move(detail));
}

void AddNumber(absl::string_view name, absl::string_view prefix, std::vector<uint64_t>& numbers) {
  uint64_t number = 0;
  if (!absl::StartsWith(name, prefix)) return;
  if (absl::SimpleAtoi(name.substr(prefix.size()), &number)) numbers.push_back(number);
}

}  // namespace

file_journal::file_journal(file_system& files, std::string folder)
    : files_(files), folder_(std::move(folder)) {}

std::string file_journal::SegmentPath(uint64_t number) const {
  return absl::StrCat(folder_, "/", kSegmentPrefix, number);
}

std::string file_journal::SnapshotPath(uint64_t index) const {
  return absl::StrCat(folder_, "/", kSnapshotPrefix, index);
}

result<void> file_journal::ListFiles() {
  BOOST_LEAF_AUTO(names, files_.List(folder_));
  for (const std::string& name : names) {
    if (absl::EndsWith(name, kTemporarySuffix)) {
      BOOST_LEAF_CHECK(files_.Remove(absl::StrCat(folder_, "/", name)));
      continue;
    }
    AddNumber(name, kSegmentPrefix, segments_);
    AddNumber(name, kSnapshotPrefix, snapshots_);
  }
  std::sort(segments_.begin(), segments_.end());
  std::sort(snapshots_.begin(), snapshots_.end());
  return {};
}

result<stored_log> file_journal::Load() {
  BOOST_LEAF_CHECK(files_.CreateFolder(folder_));
  BOOST_LEAF_ASSIGN(lock_, files_.Lock(folder_));
  BOOST_LEAF_CHECK(ListFiles());
  replay state;
  for (size_t i = 0; i < segments_.size(); ++i) {
    if (segments_[i] != segments_.front() + i) return Corrupt("A segment is missing.");
    BOOST_LEAF_CHECK(ReplaySegment(segments_[i], i + 1 == segments_.size(), state));
  }
  if (state.frames == 0) {
    // Nothing of this member was ever acknowledged, unless files were lost.
    const bool is_new = segments_.empty() || segments_ == std::vector<uint64_t>{1};
    if (!snapshots_.empty() || !is_new) return Corrupt("The log is missing.");
    BOOST_LEAF_CHECK(OpenSegment(1));
    return stored_log{};
  }
  BOOST_LEAF_CHECK(OpenSegment(segments_.back()));
  return Combine(std::move(state));
}

result<void> file_journal::ReplaySegment(uint64_t number, bool last, replay& state) {
  BOOST_LEAF_AUTO(content, files_.Read(SegmentPath(number)));
  const frame_scan scan = ScanFrames(content);
  const bool cut_off = scan.end == frame_scan::ending::kCutOff;
  if (scan.end == frame_scan::ending::kDamaged || (cut_off && !last)) {
    return Corrupt(absl::StrCat("Segment ", number, " is damaged at byte ", scan.valid_bytes, "."));
  }
  for (const absl::string_view body : scan.bodies) BOOST_LEAF_CHECK(ReplayFrame(body, state));
  if (cut_off) return files_.Truncate(SegmentPath(number), scan.valid_bytes);
  return {};
}

result<void> file_journal::ReplayFrame(absl::string_view body, replay& state) {
  outcome<journal_frame> decoded = Capture<journal_frame>([&] { return DecodeFrame(body); });
  if (std::holds_alternative<error>(decoded)) return Corrupt("A record cannot be decoded.");
  journal_frame& frame = std::get<journal_frame>(decoded);
  ++state.frames;
  if (frame.state) state.state = std::move(*frame.state);
  if (frame.base) {
    state.base_index = frame.base_index;
    state.base_term = frame.base_term;
    state.records.clear();
  }
  for (log_record& record : frame.records) {
    const uint64_t next = state.base_index + state.records.size() + 1;
    if (record.index > next || record.index <= state.base_index) {
      return Corrupt("The log has a gap.");
    }
    state.records.resize(record.index - state.base_index - 1);
    state.records.push_back(std::move(record));
  }
  return {};
}

result<log_snapshot> file_journal::ReadSnapshot(uint64_t index) {
  BOOST_LEAF_AUTO(content, files_.Read(SnapshotPath(index)));
  const frame_scan scan = ScanFrames(content);
  if (scan.end != frame_scan::ending::kClean || scan.bodies.size() != 1) {
    return Corrupt(absl::StrCat("Snapshot ", index, " is damaged."));
  }
  outcome<log_snapshot> decoded =
      Capture<log_snapshot>([&] { return DecodeSnapshot(scan.bodies.front()); });
  if (std::holds_alternative<error>(decoded)) return Corrupt("A snapshot cannot be decoded.");
  return std::get<log_snapshot>(std::move(decoded));
}

result<stored_log> file_journal::Combine(replay state) {
  if (state.state.member_id == 0) return Corrupt("The member id is missing.");
  stored_log stored;
  stored.state = std::move(state.state);
  if (stored.state.group_id == 0) {
    // Snapshots are left from joining a group without completing it.
    BOOST_LEAF_CHECK(RemoveBefore(segments_.front(), std::numeric_limits<uint64_t>::max()));
    return stored;
  }
  if (snapshots_.empty()) {
    if (state.base_index != 0 || !state.records.empty()) return Corrupt("A snapshot is missing.");
    return stored;
  }
  BOOST_LEAF_AUTO(snapshot, ReadSnapshot(snapshots_.back()));
  stored.snapshot = snapshot;
  if (snapshot.index < state.base_index) return Corrupt("A snapshot is missing.");
  if (snapshot.index == state.base_index) {
    stored.records = std::move(state.records);
    return stored;
  }
  // A crash came between storing the snapshot and starting its segment, which is made up for.
  const uint64_t covered = snapshot.index - state.base_index;
  const bool continues =
      covered <= state.records.size() && state.records[covered - 1].term == snapshot.term;
  if (continues) {
    state.records.erase(state.records.begin(),
                        state.records.begin() + static_cast<std::ptrdiff_t>(covered));
    stored.records = std::move(state.records);
  }
  BOOST_LEAF_CHECK(Checkpoint(snapshot, stored.state, stored.records));
  return stored;
}

template <class Operation>
result<void> file_journal::Guard(Operation&& operation) {
  if (failed_) return Fail(error_kind::kStorageFailed, "The journal has failed before.");
  result<void> done = operation();
  if (!done) failed_ = true;
  return done;
}

result<void> file_journal::Append(const hard_state* state, absl::Span<const log_record> records) {
  return Guard([&]() -> result<void> {
    journal_frame frame;
    if (state != nullptr) frame.state = *state;
    frame.records.assign(records.begin(), records.end());
    return WriteFrame(frame);
  });
}

result<void> file_journal::Checkpoint(const log_snapshot& snapshot, const hard_state& state,
                                      absl::Span<const log_record> records) {
  return Guard([&]() -> result<void> {
    BOOST_LEAF_CHECK(WriteSnapshot(snapshot));
    BOOST_LEAF_CHECK(OpenSegment(segments_.back() + 1));
    journal_frame frame;
    frame.state = state;
    frame.base = true;
    frame.base_index = snapshot.index;
    frame.base_term = snapshot.term;
    frame.records.assign(records.begin(), records.end());
    BOOST_LEAF_CHECK(WriteFrame(frame));
    return RemoveBefore(segments_.back(), snapshot.index);
  });
}

result<void> file_journal::WriteSnapshot(const log_snapshot& snapshot) {
  const std::string path = SnapshotPath(snapshot.index);
  const std::string temporary = absl::StrCat(path, kTemporarySuffix);
  {
    BOOST_LEAF_AUTO(file, files_.OpenAppend(temporary));
    BOOST_LEAF_CHECK(WriteAndSync(*file, WrapFrame(EncodeSnapshot(snapshot))));
  }
  BOOST_LEAF_CHECK(files_.Rename(temporary, path));
  BOOST_LEAF_CHECK(files_.SyncFolder(folder_));
  if (snapshots_.empty() || snapshots_.back() != snapshot.index) {
    snapshots_.push_back(snapshot.index);
  }
  return {};
}

result<void> file_journal::OpenSegment(uint64_t number) {
  BOOST_LEAF_ASSIGN(segment_, files_.OpenAppend(SegmentPath(number)));
  if (segments_.empty() || segments_.back() != number) segments_.push_back(number);
  return files_.SyncFolder(folder_);
}

result<void> file_journal::WriteFrame(const journal_frame& frame) {
  return WriteAndSync(*segment_, WrapFrame(EncodeFrame(frame)));
}

result<void> file_journal::WriteAndSync(append_file& file, absl::string_view bytes) {
  while (!bytes.empty()) {
    BOOST_LEAF_AUTO(written, file.Write(bytes));
    bytes.remove_prefix(written);
  }
  return file.Sync();
}

result<void> file_journal::RemoveBefore(uint64_t segment, uint64_t snapshot) {
  // Oldest first, so that a crash in between leaves no gap.
  while (segments_.front() < segment) {
    BOOST_LEAF_CHECK(files_.Remove(SegmentPath(segments_.front())));
    segments_.erase(segments_.begin());
  }
  while (!snapshots_.empty() && snapshots_.front() < snapshot) {
    BOOST_LEAF_CHECK(files_.Remove(SnapshotPath(snapshots_.front())));
    snapshots_.erase(snapshots_.begin());
  }
  return files_.SyncFolder(folder_);
}

}  // namespace teaseljunction
