#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "common/result.h"

namespace teaseljunction {

/// A file that is open for appending. The destructor closes it. Not thread-safe.
class append_file {
 public:
  virtual ~append_file() = default;

  /// Writes a prefix of `data` and returns its length in bytes, which may be 0. Errors:
  /// kStorageFailed.
  virtual result<size_t> Write(absl::string_view data) = 0;

  /// Makes all written data durable. Errors: kStorageFailed.
  virtual result<void> Sync() = 0;
};

/// A lock on a directory. The destructor releases it.
class directory_lock {
 public:
  virtual ~directory_lock() = default;
};

/// Interface for all file operations of the journal. Errors of every operation: kStorageFailed.
class file_system {
 public:
  virtual ~file_system() = default;

  /// Creates a directory, with its parents, and makes its entry durable. An existing directory is
  /// not an error.
  virtual result<void> CreateDirectory(const std::string& directory) = 0;

  /// Locks an existing directory against other processes, without waiting.
  virtual result<std::unique_ptr<directory_lock>> Lock(const std::string& directory) = 0;

  /// Returns the names of the files in a directory.
  virtual result<std::vector<std::string>> List(const std::string& directory) = 0;

  /// Returns the whole content of a file.
  virtual result<std::string> Read(const std::string& path) = 0;

  /// Opens a file for appending, and creates it if it is missing.
  virtual result<std::unique_ptr<append_file>> OpenAppend(const std::string& path) = 0;

  /// Truncates a file to `size` bytes and makes the truncation durable.
  virtual result<void> Truncate(const std::string& path, size_t size) = 0;

  virtual result<void> Rename(const std::string& from, const std::string& to) = 0;
  /// Removes a file. A missing file is not an error.
  virtual result<void> Remove(const std::string& path) = 0;

  /// Makes creations, renames and removals in a directory durable.
  virtual result<void> SyncDirectory(const std::string& directory) = 0;
};

/// The file system of the operating system. Stateless and thread-safe.
class posix_file_system : public file_system {
 public:
  result<void> CreateDirectory(const std::string& directory) override;
  result<std::unique_ptr<directory_lock>> Lock(const std::string& directory) override;
  result<std::vector<std::string>> List(const std::string& directory) override;
  result<std::string> Read(const std::string& path) override;
  result<std::unique_ptr<append_file>> OpenAppend(const std::string& path) override;
  result<void> Truncate(const std::string& path, size_t size) override;
  result<void> Rename(const std::string& from, const std::string& to) override;
  result<void> Remove(const std::string& path) override;
  result<void> SyncDirectory(const std::string& directory) override;
};

}  // namespace teaseljunction
