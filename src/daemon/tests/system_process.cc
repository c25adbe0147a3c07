#include "daemon/tests/system_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "absl/strings/str_cat.h"

namespace teaseljunction {
namespace {

constexpr size_t kBytesPerKilobyte = 1024;
constexpr int kOutputFileMode = 0600;

std::vector<char*> PointersTo(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

system_process::system_process(const std::string& program, std::vector<std::string> arguments,
                               std::vector<std::string> environment,
                               const std::string& output_path) {
  const auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  arguments.insert(arguments.begin(), (folder / program).string());
  for (char** entry = environ; *entry != nullptr; ++entry) environment.emplace_back(*entry);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kOutputFileMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&pid_, arguments.front().c_str(), &actions, nullptr, PointersTo(arguments).data(),
                  PointersTo(environment).data()) != 0) {
    pid_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
}

system_process::~system_process() {
  if (!IsRunning()) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

bool system_process::IsRunning() {
  if (pid_ < 0 || ended_) return false;
  ended_ = waitpid(pid_, nullptr, WNOHANG) != 0;
  return !ended_;
}

size_t system_process::OpenDescriptors() const {
  std::error_code failure;
  const std::filesystem::directory_iterator entries(absl::StrCat("/proc/", pid_, "/fd"), failure);
  return static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

size_t system_process::StatusBytes(const std::string& name) const {
  std::ifstream status(absl::StrCat("/proc/", pid_, "/status"));
  std::string word;
  size_t kilobytes = 0;
  while (status >> word) {
    if (word == name && status >> kilobytes) return kilobytes * kBytesPerKilobyte;
  }
  return 0;
}

}  // namespace teaseljunction
