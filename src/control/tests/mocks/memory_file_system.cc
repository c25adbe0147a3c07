#include "control/tests/mocks/memory_file_system.h"

#include <algorithm>
#include <utility>

#include "common/log.h"

namespace teaseljunction {

class memory_append_file : public append_file {
 public:
  memory_append_file(memory_file_system& files, std::shared_ptr<memory_file_system::file> file)
      : files_(files), file_(std::move(file)) {}

  result<size_t> Write(absl::string_view data) override {
    if (files_.IsFaultDue() && files_.fault_ == disk_fault::kPartialWrite) {
      file_->content.append(data.data(), data.size() / 2);
    }
    size_t written = 0;
    BOOST_LEAF_CHECK(files_.RunOperation(true, [&] {
      // Short writes are allowed by the interface.
      written = 1 + files_.random_.Below(data.size());
      file_->content.append(data.data(), written);
    }));
    return written;
  }

  result<void> Sync() override {
    if (files_.IsFaultDue() && files_.fault_ == disk_fault::kLostPages) {
      if (file_->lost_begin == file_->lost_end) file_->lost_begin = file_->synced;
      file_->lost_end = file_->content.size();
    }
    return files_.RunOperation(file_->content.size() > file_->synced, [&] {
      ++files_.sync_count_;
      file_->synced = file_->content.size();
    });
  }

 private:
  memory_file_system& files_;
  std::shared_ptr<memory_file_system::file> file_;
};

namespace {

class memory_directory_lock : public directory_lock {
 public:
  explicit memory_directory_lock(bool& locked) : locked_(locked) { locked_ = true; }
  ~memory_directory_lock() override { locked_ = false; }

 private:
  bool& locked_;
};

}  // namespace

template <class Change>
result<void> memory_file_system::RunOperation(bool needs_space, Change&& change) {
  ++operation_count_;
  if (IsFaultDue() && (needs_space || fault_ != disk_fault::kFull)) {
    ++fault_count_;
    if (!failed_ && fault_ == disk_fault::kAfterOperation) change();
    failed_ = true;
    if (--remaining_faults_ == 0) fault_armed_ = false;
    return Fail(error_kind::kStorageFailed, "injected");
  }
  if (fault_armed_ && operations_until_fault_ > 0) --operations_until_fault_;
  change();
  return {};
}

memory_file_system::memory_file_system(uint64_t seed) : random_(seed) {
  // The journal logs each torn write that it ignores.
  static const bool configured = (ConfigureLog({"/dev/null", "error"}), true);
  static_cast<void>(configured);
}

void memory_file_system::FailAfter(uint64_t operations, disk_fault fault, uint64_t count) {
  remaining_faults_ = count;
  operations_until_fault_ = operations;
  fault_ = fault;
  fault_armed_ = true;
  failed_ = false;
}

void memory_file_system::Crash() {
  files_ = history_[random_.Below(history_.size())];
  for (auto& [name, entry] : files_) {
    DropLostData(*entry);
    const size_t unsynced = entry->content.size() - entry->synced;
    std::string kept = entry->content.substr(entry->synced, random_.Below(unsynced + 1));
    if (random_.Below(2) == 0) Tear(kept);
    entry->content.replace(entry->synced, unsynced, kept);
    // Some file systems extend a file before its data is written.
    if (unsynced > 0 && random_.Below(4) == 0) entry->content.append(random_.Below(600), '\0');
    entry->synced = entry->content.size();
  }
  history_ = {files_};
  fault_armed_ = false;
  failed_ = false;
  fault_count_ = 0;
}

void memory_file_system::Tear(std::string& unsynced) {
  for (uint64_t ranges = 1 + random_.Below(3); ranges > 0 && !unsynced.empty(); --ranges) {
    const size_t begin = random_.Below(unsynced.size());
    const size_t size = 1 + random_.Below(unsynced.size() - begin);
    const bool missing = random_.Below(2) == 0;
    for (size_t i = begin; i < begin + size; ++i) {
      unsynced[i] = missing ? '\0' : static_cast<char>(random_.Next());
    }
  }
}

void memory_file_system::CrashAndTear(const std::function<void(std::string& unsynced)>& tear) {
  for (auto& [name, entry] : files_) {
    DropLostData(*entry);
    if (entry->content.size() == entry->synced) continue;
    std::string unsynced = entry->content.substr(entry->synced);
    tear(unsynced);
    entry->content.replace(entry->synced, std::string::npos, unsynced);
    entry->synced = entry->content.size();
  }
  history_ = {files_};
  fault_armed_ = false;
}

std::unique_ptr<memory_file_system> memory_file_system::Copy() const {
  auto copy = std::make_unique<memory_file_system>(0);
  for (const auto& [name, entry] : files_) copy->files_[name] = std::make_shared<file>(*entry);
  copy->history_ = {copy->files_};
  return copy;
}

std::vector<std::string> memory_file_system::Paths() const {
  std::vector<std::string> paths;
  for (const auto& [path, entry] : files_) paths.push_back(path);
  return paths;
}

void memory_file_system::FlipBits(const std::string& path, size_t offset, char mask) {
  files_.at(path)->content[offset] ^= mask;
}

void memory_file_system::DropLostData(file& entry) {
  for (size_t i = entry.lost_begin; i < entry.lost_end; ++i) entry.content[i] = '\0';
  entry.lost_begin = entry.lost_end = 0;
}

std::unique_ptr<memory_file_system> memory_file_system::DurableCopy() const {
  auto copy = std::make_unique<memory_file_system>(0);
  for (const auto& [name, entry] : history_.front()) {
    copy->files_[name] = std::make_shared<file>(*entry);
    DropLostData(*copy->files_[name]);
    copy->files_[name]->content.resize(entry->synced);
  }
  copy->history_ = {copy->files_};
  return copy;
}

bool memory_file_system::HasLostData() const {
  return std::any_of(files_.begin(), files_.end(), [](const auto& entry) {
    return entry.second->lost_begin != entry.second->lost_end;
  });
}

bool memory_file_system::FlipBit() {
  std::vector<file*> candidates;
  for (auto& [name, entry] : files_) {
    if (!entry->content.empty()) candidates.push_back(entry.get());
  }
  file& chosen = *candidates[random_.Below(candidates.size())];
  const size_t offset = random_.Below(chosen.content.size());
  chosen.content[offset] ^= static_cast<char>(1 << random_.Below(8));
  return offset < chosen.synced;
}

void memory_file_system::FlipSyncedBit() {
  std::vector<file*> candidates;
  for (auto& [name, entry] : files_) {
    if (entry->synced > 0) candidates.push_back(entry.get());
  }
  file& chosen = *candidates[random_.Below(candidates.size())];
  chosen.content[random_.Below(chosen.synced)] ^= static_cast<char>(1 << random_.Below(8));
}

result<void> memory_file_system::CreateDirectory(const std::string&) { return {}; }

result<std::unique_ptr<directory_lock>> memory_file_system::Lock(const std::string&) {
  if (locked_) return Fail(error_kind::kStorageFailed, "locked");
  return std::unique_ptr<directory_lock>(std::make_unique<memory_directory_lock>(locked_));
}

result<std::vector<std::string>> memory_file_system::List(const std::string& directory) {
  std::vector<std::string> names;
  for (const auto& [path, entry] : files_) names.push_back(path.substr(directory.size() + 1));
  return names;
}

result<std::string> memory_file_system::Read(const std::string& path) {
  const auto found = files_.find(path);
  if (found == files_.end()) return Fail(error_kind::kStorageFailed, "missing");
  return found->second->content;
}

result<std::unique_ptr<append_file>> memory_file_system::OpenAppend(const std::string& path) {
  BOOST_LEAF_CHECK(RunOperation(files_.count(path) == 0, [&] {
    std::shared_ptr<file>& entry = files_[path];
    if (entry) return;
    entry = std::make_shared<file>();
    history_.push_back(files_);
  }));
  return std::unique_ptr<append_file>(std::make_unique<memory_append_file>(*this, files_[path]));
}

result<void> memory_file_system::Truncate(const std::string& path, size_t size) {
  return RunOperation(files_[path]->synced < size, [&] {
    file& entry = *files_[path];
    entry.content.resize(size);
    entry.synced = size;
    entry.lost_end = std::min(entry.lost_end, size);
    entry.lost_begin = std::min(entry.lost_begin, entry.lost_end);
  });
}

result<void> memory_file_system::Rename(const std::string& from, const std::string& to) {
  return RunOperation(false, [&] {
    files_[to] = files_[from];
    files_.erase(from);
    history_.push_back(files_);
  });
}

result<void> memory_file_system::Remove(const std::string& path) {
  return RunOperation(false, [&] {
    files_.erase(path);
    history_.push_back(files_);
  });
}

result<void> memory_file_system::SyncDirectory(const std::string&) {
  return RunOperation(false, [&] { history_ = {files_}; });
}

}  // namespace teaseljunction
