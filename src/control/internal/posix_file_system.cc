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
constexpr size_t kReadBytes = 256 * 1024;

boost::leaf::error_id FailedCall(absl::string_view call, const std::string& path) {
  return Fail(error_kind::kStorageFailed,
              absl::StrCat(call, " ", path, ": ", std::strerror(errno)));
}

class file_descriptor {
 public:
  explicit file_descriptor(int number) : number_(number) {}
  file_descriptor(file_descriptor&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
  file_descriptor& operator=(file_descriptor&&) = delete;
  ~file_descriptor() {
    if (number_ >= 0) close(number_);
  }
  int Number() const { return number_; }
  bool IsOpen() const { return number_ >= 0; }

 private:
  int number_;
};

file_descriptor Open(const std::string& path, int flags) {
  int number = -1;
  do {
    number = open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  } while (number < 0 && errno == EINTR);
  return file_descriptor(number);
}

class posix_append_file : public append_file {
 public:
  posix_append_file(file_descriptor file, std::string path)
      : file_(std::move(file)), path_(std::move(path)) {}

  result<size_t> Write(absl::string_view data) override {
    const ssize_t written = write(file_.Number(), data.data(), data.size());
    if (written >= 0) return static_cast<size_t>(written);
    if (errno == EINTR) return size_t{0};
    return FailedCall("write", path_);
  }

  // A failed sync is final: the kernel may have dropped the pages, so a second sync proves nothing.
  result<void> Sync() override {
    if (fdatasync(file_.Number()) != 0) return FailedCall("fdatasync", path_);
    return {};
  }

 private:
  file_descriptor file_;
  std::string path_;
};

class posix_folder_lock : public folder_lock {
 public:
  explicit posix_folder_lock(file_descriptor file) : file_(std::move(file)) {}

 private:
  file_descriptor file_;
};

}  // namespace

result<void> posix_file_system::CreateFolder(const std::string& folder) {
  std::error_code failure;
  const std::filesystem::path path = std::filesystem::absolute(folder, failure);
  std::filesystem::create_directories(path, failure);
  if (failure) {
    return Fail(error_kind::kStorageFailed,
                absl::StrCat("mkdir ", folder, ": ", failure.message()));
  }
  BOOST_LEAF_CHECK(SyncFolder(path.parent_path()));
  return SyncFolder(path);
}

result<std::unique_ptr<folder_lock>> posix_file_system::Lock(const std::string& folder) {
  file_descriptor file = Open(folder, O_RDONLY | O_DIRECTORY);
  if (!file.IsOpen()) return FailedCall("open", folder);
  if (flock(file.Number(), LOCK_EX | LOCK_NB) != 0) return FailedCall("lock", folder);
  return std::unique_ptr<folder_lock>(std::make_unique<posix_folder_lock>(std::move(file)));
}

result<std::vector<std::string>> posix_file_system::List(const std::string& folder) {
  std::vector<std::string> names;
  std::error_code failure;
  std::filesystem::directory_iterator entries(folder, failure);
  for (; !failure && entries != std::filesystem::directory_iterator(); entries.increment(failure)) {
    names.push_back(entries->path().filename());
  }
  if (failure) {
    return Fail(error_kind::kStorageFailed, absl::StrCat("list ", folder, ": ", failure.message()));
  }
  return names;
}

result<std::string> posix_file_system::Read(const std::string& path) {
  const file_descriptor file = Open(path, O_RDONLY);
  if (!file.IsOpen()) return FailedCall("open", path);
  std::string content;
  while (true) {
    const size_t size = content.size();
    content.resize(size + kReadBytes);
    const ssize_t count = read(file.Number(), content.data() + size, kReadBytes);
    content.resize(size + static_cast<size_t>(std::max<ssize_t>(count, 0)));
    if (count == 0) return content;
    if (count < 0 && errno != EINTR) return FailedCall("read", path);
  }
}

result<std::unique_ptr<append_file>> posix_file_system::OpenAppend(const std::string& path) {
  file_descriptor file = Open(path, O_WRONLY | O_CREAT | O_APPEND);
  if (!file.IsOpen()) return FailedCall("open", path);
  return std::unique_ptr<append_file>(std::make_unique<posix_append_file>(std::move(file), path));
}

result<void> posix_file_system::Truncate(const std::string& path, size_t size) {
  const file_descriptor file = Open(path, O_WRONLY);
  if (!file.IsOpen()) return FailedCall("open", path);
  if (ftruncate(file.Number(), static_cast<off_t>(size)) != 0) {
    return FailedCall("truncate", path);
  }
  if (fsync(file.Number()) != 0) return FailedCall("fsync", path);
  return {};
}

result<void> posix_file_system::Rename(const std::string& from, const std::string& to) {
  if (rename(from.c_str(), to.c_str()) != 0) return FailedCall("rename", from);
  return {};
}

result<void> posix_file_system::Remove(const std::string& path) {
  if (unlink(path.c_str()) != 0) return FailedCall("remove", path);
  return {};
}

result<void> posix_file_system::SyncFolder(const std::string& folder) {
  const file_descriptor file = Open(folder, O_RDONLY | O_DIRECTORY);
  if (!file.IsOpen()) return FailedCall("open", folder);
  if (fsync(file.Number()) != 0) return FailedCall("fsync", folder);
  return {};
}

}  // namespace teaseljunction
