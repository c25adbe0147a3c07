#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

#include "absl/strings/str_cat.h"
#include "control/file_system.h"

namespace teaseljunction {
namespace {

constexpr mode_t kFileMode = 0640;
constexpr size_t kReadChunkBytes = 256 * 1024;

boost::leaf::error_id SystemCallError(absl::string_view call, const std::string& path) {
  return Fail(error_kind::kStorageFailed,
              absl::StrCat(call, " ", path, ": ", std::strerror(errno)));
}

class file_descriptor {
 public:
  explicit file_descriptor(int fd) : fd_(fd) {}
  file_descriptor(file_descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  file_descriptor& operator=(file_descriptor&&) = delete;
  ~file_descriptor() {
    if (fd_ >= 0) close(fd_);
  }
  int Get() const { return fd_; }
  bool IsOpen() const { return fd_ >= 0; }

 private:
  int fd_;
};

file_descriptor Open(const std::string& path, int flags) {
  int fd = -1;
  do {
    fd = open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  } while (fd < 0 && errno == EINTR);
  return file_descriptor(fd);
}

class posix_append_file : public append_file {
 public:
  posix_append_file(file_descriptor file, std::string path)
      : file_(std::move(file)), path_(std::move(path)) {}

  result<size_t> Write(absl::string_view data) override {
    const ssize_t written = write(file_.Get(), data.data(), data.size());
    if (written >= 0) return static_cast<size_t>(written);
    if (errno == EINTR) return size_t{0};
    return SystemCallError("write", path_);
  }

  // Not retried: after a failed sync the kernel may have dropped the pages, and a second sync would
  // succeed without writing them.
  result<void> Sync() override {
    if (fdatasync(file_.Get()) != 0) return SystemCallError("fdatasync", path_);
    return {};
  }

 private:
  file_descriptor file_;
  std::string path_;
};

class posix_directory_lock : public directory_lock {
 public:
  explicit posix_directory_lock(file_descriptor file) : file_(std::move(file)) {}

 private:
  file_descriptor file_;
};

}  // namespace

result<void> posix_file_system::CreateDirectory(const std::string& directory) {
  std::error_code failure;
  const std::filesystem::path path = std::filesystem::absolute(directory, failure);
  std::filesystem::create_directories(path, failure);
  if (failure) {
    return Fail(error_kind::kStorageFailed,
                absl::StrCat("mkdir ", directory, ": ", failure.message()));
  }
  BOOST_LEAF_CHECK(SyncDirectory(path.parent_path()));
  return SyncDirectory(path);
}

result<std::unique_ptr<directory_lock>> posix_file_system::Lock(const std::string& directory) {
  file_descriptor file = Open(directory, O_RDONLY | O_DIRECTORY);
  if (!file.IsOpen()) return SystemCallError("open", directory);
  if (flock(file.Get(), LOCK_EX | LOCK_NB) != 0) return SystemCallError("lock", directory);
  return std::unique_ptr<directory_lock>(std::make_unique<posix_directory_lock>(std::move(file)));
}

result<std::vector<std::string>> posix_file_system::List(const std::string& directory) {
  std::vector<std::string> names;
  std::error_code failure;
  std::filesystem::directory_iterator entries(directory, failure);
  for (; !failure && entries != std::filesystem::directory_iterator(); entries.increment(failure)) {
    names.push_back(entries->path().filename());
  }
  if (failure) {
    return Fail(error_kind::kStorageFailed,
                absl::StrCat("list ", directory, ": ", failure.message()));
  }
  return names;
}

result<std::string> posix_file_system::Read(const std::string& path) {
  const file_descriptor file = Open(path, O_RDONLY);
  if (!file.IsOpen()) return SystemCallError("open", path);
  std::string content;
  while (true) {
    const size_t size = content.size();
    content.resize(size + kReadChunkBytes);
    const ssize_t count = read(file.Get(), content.data() + size, kReadChunkBytes);
    content.resize(size + static_cast<size_t>(std::max<ssize_t>(count, 0)));
    if (count == 0) return content;
    if (count < 0 && errno != EINTR) return SystemCallError("read", path);
  }
}

result<std::unique_ptr<append_file>> posix_file_system::OpenAppend(const std::string& path) {
  file_descriptor file = Open(path, O_WRONLY | O_CREAT | O_APPEND);
  if (!file.IsOpen()) return SystemCallError("open", path);
  return std::unique_ptr<append_file>(std::make_unique<posix_append_file>(std::move(file), path));
}

result<void> posix_file_system::Truncate(const std::string& path, size_t size) {
  const file_descriptor file = Open(path, O_WRONLY);
  if (!file.IsOpen()) return SystemCallError("open", path);
  if (ftruncate(file.Get(), static_cast<off_t>(size)) != 0) {
    return SystemCallError("truncate", path);
  }
  if (fsync(file.Get()) != 0) return SystemCallError("fsync", path);
  return {};
}

result<void> posix_file_system::Rename(const std::string& from, const std::string& to) {
  if (rename(from.c_str(), to.c_str()) != 0) return SystemCallError("rename", from);
  return {};
}

result<void> posix_file_system::Remove(const std::string& path) {
  if (unlink(path.c_str()) != 0 && errno != ENOENT) return SystemCallError("remove", path);
  return {};
}

result<void> posix_file_system::SyncDirectory(const std::string& directory) {
  const file_descriptor file = Open(directory, O_RDONLY | O_DIRECTORY);
  if (!file.IsOpen()) return SystemCallError("open", directory);
  if (fsync(file.Get()) != 0) return SystemCallError("fsync", directory);
  return {};
}

}  // namespace teaseljunction
