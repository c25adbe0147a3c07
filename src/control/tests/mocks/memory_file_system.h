#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/random_source.h"
#include "control/file_system.h"

namespace teaseljunction {

/// Reproducible random numbers (SplitMix64).
class seeded_random_source : public random_source {
 public:
  explicit seeded_random_source(uint64_t seed) : state_(seed) {}
  uint64_t Next() override {
    uint64_t value = state_ += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
  }

 private:
  uint64_t state_;
};

enum class disk_fault : uint8_t { kBeforeOperation, kAfterOperation, kHalfWritten };

/// One folder in memory that loses what was not synced when its host crashes, and that fails on
/// demand.
class memory_file_system : public file_system {
 public:
  explicit memory_file_system(uint64_t seed) : random_(seed) {}

  /// Makes the operation after `operations` others, and all later ones, fail.
  void FailAfter(uint64_t operations, disk_fault fault);
  void ClearFaults() { faulty_ = false; }
  bool HasFailed() const { return failed_; }

  /// Keeps only what was synced, plus a random part of what was not.
  void Crash();

  /// Flips one random bit of one random file.
  void FlipBit();

  uint64_t SyncCount() const { return syncs_; }

  result<void> CreateFolder(const std::string& folder) override;
  result<std::unique_ptr<folder_lock>> Lock(const std::string& folder) override;
  result<std::vector<std::string>> List(const std::string& folder) override;
  result<std::string> Read(const std::string& path) override;
  result<std::unique_ptr<append_file>> OpenAppend(const std::string& path) override;
  result<void> Truncate(const std::string& path, size_t size) override;
  result<void> Rename(const std::string& from, const std::string& to) override;
  result<void> Remove(const std::string& path) override;
  result<void> SyncFolder(const std::string& folder) override;

 private:
  struct file {
    std::string content;
    size_t synced = 0;
  };
  using folder = std::map<std::string, std::shared_ptr<file>>;
  friend class memory_append_file;

  // Runs a change unless a fault is due.
  template <class Change>
  result<void> Operate(Change&& change);

  seeded_random_source random_;
  folder files_;
  // States of the folder since its last sync, oldest first; a crash leaves any of them.
  std::vector<folder> history_ = {folder()};
  uint64_t remaining_ = 0;
  uint64_t syncs_ = 0;
  disk_fault fault_ = disk_fault::kBeforeOperation;
  bool faulty_ = false;
  bool failed_ = false;
  bool locked_ = false;
};

}  // namespace teaseljunction
