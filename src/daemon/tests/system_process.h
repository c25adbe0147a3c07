#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

namespace teaseljunction {

/// A program of the build that runs as a separate process, for tests of what a whole process uses.
/// It is killed when the object is destroyed.
class system_process {
 public:
  /// Starts `program`, which is beside the test program. `environment` has entries "NAME=value",
  /// which are added to the environment of the test. The output goes to the file `output_path`.
  system_process(const std::string& program, std::vector<std::string> arguments,
                 std::vector<std::string> environment, const std::string& output_path);
  ~system_process();
  system_process(const system_process&) = delete;
  system_process& operator=(const system_process&) = delete;

  bool IsRunning();

  /// Resident memory now and its maximum since the start, in bytes; 0 if the process has ended.
  size_t ResidentBytes() const { return StatusBytes("VmRSS:"); }
  size_t PeakResidentBytes() const { return StatusBytes("VmHWM:"); }

  size_t OpenDescriptors() const;

 private:
  size_t StatusBytes(const std::string& name) const;

  pid_t pid_ = -1;
  bool ended_ = false;
};

}  // namespace teaseljunction
