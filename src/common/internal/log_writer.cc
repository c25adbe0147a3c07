#include "common/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <csignal>
#include <utility>

#include "absl/strings/str_cat.h"
#include "common/clock_source.h"

namespace teaseljunction {
namespace {

// Largest write to a pipe that does not block after poll() has reported it writable (PIPE_BUF).
constexpr size_t kMaxWriteBytes = 4096;

}  // namespace

log_writer::log_writer(int fd) : fd_(fd) {
  // A signal of the process must not reach this thread, which may be started before the program
  // blocks signals: its default action would end the process.
  sigset_t all;
  sigset_t previous;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &previous);
  thread_ = std::thread([this] { Run(); });
  pthread_sigmask(SIG_SETMASK, &previous, nullptr);
}

log_writer::~log_writer() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    flush_requested_ = true;
  }
  thread_.join();
}

void log_writer::Write(absl::string_view line) {
  absl::MutexLock lock(&mutex_);
  if (buffer_.size() + line.size() + 1 > kMaxBufferBytes) {
    ++dropped_lines_;
    return;
  }
  absl::StrAppend(&buffer_, line, "\n");
}

void log_writer::Flush(absl::Duration timeout) {
  absl::MutexLock lock(&mutex_);
  flush_requested_ = true;
  const auto written = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return buffer_.empty() && !writing_;
  };
  mutex_.AwaitWithTimeout(absl::Condition(&written), timeout);
}

uint64_t log_writer::DroppedLines() const {
  absl::MutexLock lock(&mutex_);
  return dropped_lines_;
}

std::string log_writer::TakeBuffered() {
  std::string batch = std::exchange(buffer_, {});
  if (dropped_lines_ > reported_dropped_lines_) {
    absl::StrAppend(&batch, "event=lines_left_out count=", dropped_lines_ - reported_dropped_lines_,
                    "\n");
    reported_dropped_lines_ = dropped_lines_;
  }
  return batch;
}

bool log_writer::WriteAll(absl::string_view text, absl::Time deadline) const {
  const system_clock_source clock;
  while (!text.empty()) {
    const absl::Duration remaining = deadline - clock.Now();
    if (remaining <= absl::ZeroDuration()) return false;
    pollfd descriptor = {fd_, POLLOUT, 0};
    const auto wait_ms = static_cast<int>(absl::ToInt64Milliseconds(remaining)) + 1;
    if (poll(&descriptor, 1, wait_ms) <= 0 || (descriptor.revents & POLLOUT) == 0) return false;
    const ssize_t written = write(fd_, text.data(), std::min(text.size(), kMaxWriteBytes));
    if (written <= 0) return false;
    text.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

void log_writer::Run() {
  const system_clock_source clock;
  bool stopping = false;
  while (!stopping) {
    std::string batch;
    {
      absl::MutexLock lock(&mutex_);
      const auto has_work = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
        return stopping_ || !buffer_.empty();
      };
      mutex_.Await(absl::Condition(&has_work));
      // Collect the lines of one flush interval into a single batch.
      mutex_.AwaitWithTimeout(absl::Condition(&flush_requested_), kFlushInterval);
      stopping = stopping_;
      batch = TakeBuffered();
      writing_ = true;
    }
    const absl::Time deadline =
        stopping ? clock.Now() + kFlushInterval : clock.Now() + absl::Seconds(10);
    const bool written = WriteAll(batch, deadline);
    absl::MutexLock lock(&mutex_);
    writing_ = false;
    if (written) continue;
    for (const char character : batch) dropped_lines_ += character == '\n' ? 1 : 0;
  }
}

}  // namespace teaseljunction
