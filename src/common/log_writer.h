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

/// Writes lines to a file descriptor on a separate thread. A slow or blocked reader never blocks a
/// caller: lines that do not fit into the buffer are dropped and counted, and a later line reports
/// how many. Thread-safe.
class log_writer {
 public:
  /// Capacity of the buffer in bytes; lines that exceed it are dropped.
  static constexpr size_t kMaxBufferBytes = size_t{256} << 10;
  /// Time for which lines are collected in order to be written together.
  static constexpr absl::Duration kFlushInterval = absl::Milliseconds(100);

  /// `fd` must stay open for the lifetime of the writer, which does not close it.
  explicit log_writer(int fd);

  /// Writes the buffered lines, for at most one flush interval, and ends the thread.
  ~log_writer();

  /// Adds `line`, given without a line break. Never blocks on the descriptor.
  void Write(absl::string_view line);

  /// Waits until all buffered lines are written, at most `timeout`. Later lines are written without
  /// being collected first, because the process is expected to stop.
  void Flush(absl::Duration timeout);

  /// Returns the number of lines dropped so far.
  uint64_t DroppedLines() const;

 private:
  void Run();
  // Empties the buffer and returns its content, followed by a line with the number of lines dropped
  // since the last report.
  std::string TakeBuffered() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns false if the text was not fully written by `deadline` or a write failed.
  bool WriteAll(absl::string_view text, absl::Time deadline) const;

  const int fd_;
  mutable absl::Mutex mutex_;
  std::string buffer_ ABSL_GUARDED_BY(mutex_);
  uint64_t dropped_lines_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t reported_dropped_lines_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // True while lines taken from the buffer are being written.
  bool writing_ ABSL_GUARDED_BY(mutex_) = false;
  // True once lines are written without being collected, because the process is about to stop.
  bool flush_requested_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace teaseljunction
