#pragma once

#include <cstdint>
#include <functional>
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

/// Whether the failing operation is not carried out, carried out, or carried out in part. With
/// `kLostPages`, a failed sync loses the unsynced data although reads still return it, and later
/// syncs succeed without it. `kFull` refuses only operations that need space.
enum class disk_fault : uint8_t {
  kBeforeOperation,
  kAfterOperation,
  kPartialWrite,
  kLostPages,
  kFull
};
constexpr uint64_t kDiskFaults = 5;

/// A single directory in memory, with injected faults and crashes that lose unsynced data.
class memory_file_system : public file_system {
 public:
  explicit memory_file_system(uint64_t seed);

  /// Makes `count` operations fail after the next `operations` ones.
  void FailAfter(uint64_t operations, disk_fault fault, uint64_t count = UINT64_MAX);
  void ClearFaults() { fault_armed_ = false; }
  bool HasFailed() const { return failed_; }

  /// Simulates a crash of the host: keeps synced data and a random part of unsynced data, in which
  /// ranges may be missing or hold other bytes.
  void Crash();

  /// Simulates a crash of the host after which all directory changes are kept. `tear` is called for
  /// each file that has unsynced data and may change these.
  void CrashAndTear(const std::function<void(std::string& unsynced)>& tear);

  /// Returns an independent copy of all files, including unsynced data.
  std::unique_ptr<memory_file_system> Copy() const;

  /// Returns the number of bytes of a file, and how many of them are synced.
  size_t Size(const std::string& path) const { return files_.at(path)->content.size(); }
  size_t SyncedSize(const std::string& path) const { return files_.at(path)->synced; }
  std::vector<std::string> Paths() const;
  /// Flips the bits of `mask` in one byte.
  void FlipBits(const std::string& path, size_t offset, char mask);

  /// True if a sync has lost data that reads still return.
  bool HasLostData() const;

  /// Flips one random bit of one random file. Returns whether it is a bit of synced data.
  bool FlipBit();
  /// Flips one random bit of synced data.
  void FlipSyncedBit();

  /// Returns what is left after a crash that loses all unsynced data.
  std::unique_ptr<memory_file_system> DurableCopy() const;

  uint64_t SyncCount() const { return sync_count_; }
  /// Number of operations that were run or refused.
  uint64_t OperationCount() const { return operation_count_; }
  /// Number of operations that were refused since the last crash.
  uint64_t FaultCount() const { return fault_count_; }

  result<void> CreateDirectory(const std::string& directory) override;
  result<std::unique_ptr<directory_lock>> Lock(const std::string& directory) override;
  result<std::vector<std::string>> List(const std::string& directory) override;
  result<std::string> Read(const std::string& path) override;
  result<std::unique_ptr<append_file>> OpenAppend(const std::string& path) override;
  result<void> Truncate(const std::string& path, size_t size) override;
  result<void> Rename(const std::string& from, const std::string& to) override;
  result<void> Remove(const std::string& path) override;
  result<void> SyncDirectory(const std::string& directory) override;

 private:
  struct file {
    std::string content;
    size_t synced = 0;
    // Data that a failed sync has lost.
    size_t lost_begin = 0;
    size_t lost_end = 0;
  };
  using directory_entries = std::map<std::string, std::shared_ptr<file>>;
  friend class memory_append_file;

  // Applies a change unless a fault is due.
  template <class Change>
  result<void> RunOperation(bool needs_space, Change&& change);
  bool IsFaultDue() const { return fault_armed_ && operations_until_fault_ == 0; }
  static void DropLostData(file& entry);
  void Tear(std::string& unsynced);

  seeded_random_source random_;
  directory_entries files_;
  // States of the directory since its last sync, oldest first. A crash leaves one of them.
  std::vector<directory_entries> history_ = {directory_entries()};
  uint64_t operations_until_fault_ = 0;
  uint64_t remaining_faults_ = 0;
  uint64_t operation_count_ = 0;
  uint64_t fault_count_ = 0;
  uint64_t sync_count_ = 0;
  disk_fault fault_ = disk_fault::kBeforeOperation;
  bool fault_armed_ = false;
  bool failed_ = false;
  bool locked_ = false;
};

}  // namespace teaseljunction
