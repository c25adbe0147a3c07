#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "common/result.h"

namespace teaseljunction {

/// A file that is open for appending. It is closed on destruction.
class append_file {
 public:
  virtual ~append_file() = default;

  /// Writes a prefix of `data` and returns its length, which may be shorter. Errors:
  /// kStorageFailed.
  virtual result<size_t> Write(absl::string_view data) = 0;

  /// Makes what was written durable. Errors: kStorageFailed.
  virtual result<void> Sync() = 0;
};

/// Keeps a folder locked until destruction.
class folder_lock {
 public:
  virtual ~folder_lock() = default;
};

/// Port for all file operations of the journal. Every operation fails with kStorageFailed.
class file_system {
 public:
  virtual ~file_system() = default;

  /// Creates a folder and makes its entry durable. An existing folder is no error.
  virtual result<void> CreateFolder(const std::string& folder) = 0;

  /// Locks an existing folder against other processes, without waiting.
  virtual result<std::unique_ptr<folder_lock>> Lock(const std::string& folder) = 0;

  /// Returns the names of the files in a folder.
  virtual result<std::vector<std::string>> List(const std::string& folder) = 0;

  /// Returns the whole content of a file.
  virtual result<std::string> Read(const std::string& path) = 0;

  /// Opens a file at its end, and creates it when it is missing.
  virtual result<std::unique_ptr<append_file>> OpenAppend(const std::string& path) = 0;

  /// Cuts a file to `size` bytes and makes that durable.
  virtual result<void> Truncate(const std::string& path, size_t size) = 0;

  virtual result<void> Rename(const std::string& from, const std::string& to) = 0;
  virtual result<void> Remove(const std::string& path) = 0;

  /// Makes creations, renames and removals in a folder durable.
  virtual result<void> SyncFolder(const std::string& folder) = 0;
};

/// The files of the operating system. Stateless and thread-safe.
class posix_file_system : public file_system {
 public:
  result<void> CreateFolder(const std::string& folder) override;
  result<std::unique_ptr<folder_lock>> Lock(const std::string& folder) override;
  result<std::vector<std::string>> List(const std::string& folder) override;
  result<std::string> Read(const std::string& path) override;
  result<std::unique_ptr<append_file>> OpenAppend(const std::string& path) override;
  result<void> Truncate(const std::string& path, size_t size) override;
  result<void> Rename(const std::string& from, const std::string& to) override;
  result<void> Remove(const std::string& path) override;
  result<void> SyncFolder(const std::string& folder) override;
};

}  // namespace teaseljunction
