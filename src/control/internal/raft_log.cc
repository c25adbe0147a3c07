#include "control/raft_log.h"

#include <algorithm>
#include <utility>

namespace teaseljunction {

raft_log::raft_log(absl::optional<log_snapshot> snapshot, std::vector<log_record> records) {
  if (snapshot) Install(*snapshot);
  for (log_record& record : records) Append(std::move(record));
}

absl::optional<uint64_t> raft_log::TermAt(uint64_t index) const {
  if (index == base_index_) return base_term_;
  if (index < base_index_ || index > LastIndex()) return absl::nullopt;
  return At(index).term;
}

std::vector<log_record> raft_log::RecordsAfter(uint64_t index) const {
  const uint64_t skipped = std::max(index, base_index_) - base_index_;
  if (skipped >= records_.size()) return {};
  return {records_.begin() + static_cast<std::ptrdiff_t>(skipped), records_.end()};
}

void raft_log::Append(log_record record) {
  if (record.index <= LastIndex()) TruncateFrom(record.index);
  ends_.push_back(EndOf(LastIndex()) + SizeOf(record));
  if (record.kind == record_kind::kConfiguration) {
    configuration_ = record.configuration;
    configuration_index_ = record.index;
  }
  records_.push_back(std::move(record));
}

void raft_log::Install(const log_snapshot& snapshot) {
  const bool holds_last_record = TermAt(snapshot.index) == snapshot.term;
  if (holds_last_record) {
    DropUpTo(snapshot.index);
  } else {
    records_.clear();
    ends_.clear();
  }
  base_index_ = snapshot.index;
  base_term_ = snapshot.term;
  base_time_ = snapshot.time;
  snapshot_ = snapshot;
  RecomputeConfiguration();
}

void raft_log::Compact(const log_snapshot& snapshot, uint64_t retained_records,
                       uint64_t retained_bytes) {
  snapshot_ = snapshot;
  uint64_t new_base = base_index_;
  while (new_base < snapshot.index && (snapshot.index - new_base > retained_records ||
                                       BytesBetween(new_base, snapshot.index) > retained_bytes)) {
    ++new_base;
  }
  DropUpTo(new_base);
}

uint64_t raft_log::EndOf(uint64_t index) const {
  return index <= base_index_ ? base_end_ : ends_[index - base_index_ - 1];
}

uint64_t raft_log::BytesBetween(uint64_t after, uint64_t last) const {
  return after < last ? EndOf(last) - EndOf(after) : 0;
}

void raft_log::TruncateFrom(uint64_t index) {
  while (LastIndex() >= index && !records_.empty()) {
    ends_.pop_back();
    records_.pop_back();
  }
  if (configuration_index_ >= index) RecomputeConfiguration();
}

void raft_log::DropUpTo(uint64_t index) {
  while (base_index_ < index && !records_.empty()) {
    const log_record& first = records_.front();
    base_index_ = first.index;
    base_term_ = first.term;
    base_time_ = first.time;
    base_end_ = ends_.front();
    ends_.pop_front();
    records_.pop_front();
  }
}

void raft_log::RecomputeConfiguration() {
  configuration_ = snapshot_ ? snapshot_->configuration : group_configuration{};
  configuration_index_ = snapshot_ ? snapshot_->index : 0;
  for (auto record = records_.rbegin(); record != records_.rend(); ++record) {
    if (record->kind != record_kind::kConfiguration) continue;
    if (record->index <= configuration_index_) return;
    configuration_ = record->configuration;
    configuration_index_ = record->index;
    return;
  }
}

uint64_t raft_log::SizeOf(const log_record& record) {
  return sizeof(log_record) + record.data.size();
}

}  // namespace teaseljunction
