#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace teaseljunction {

/// Writes lines to a descriptor on a thread of its own. A reader that is slow or stuck costs lines,
/// never the time of a caller: lines beyond the buffer are left out and counted, and a later line
/// tells how many. Thread-safe.
class log_writer {
 public:
  /// Buffered bytes above which lines are left out.
  static constexpr size_t kBufferBytes = size_t{256} << 10;
  /// Time for which lines are collected before they are written together.
  static constexpr absl::Duration kFlushInterval = absl::Milliseconds(100);

  /// `fd` stays open as long as the writer exists.
  explicit log_writer(int fd);

  /// Writes what is buffered, for up to one flush interval, and ends the thread.
  ~log_writer();

  /// Adds a line without its end. Returns at once.
  void Write(absl::string_view line);

  /// Returns when the lines that were added before are written, or after `timeout`.
  void Flush(absl::Duration timeout);

  /// Number of lines that were left out so far.
  uint64_t LeftOut() const;

 private:
  void Run();
  // Takes what is buffered, and a line about what was left out since the last call.
  std::string Take() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns false when the descriptor took nothing until `deadline`.
  bool WriteAll(absl::string_view text, absl::Time deadline) const;

  const int fd_;
  mutable absl::Mutex mutex_;
  std::string buffer_ ABSL_GUARDED_BY(mutex_);
  uint64_t left_out_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t reported_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // True while lines that were taken from the buffer are not written yet.
  bool writing_ ABSL_GUARDED_BY(mutex_) = false;
  // True when lines are not collected any longer, because the process is about to stop.
  bool hurried_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace teaseljunction
