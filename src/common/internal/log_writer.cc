#include "common/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "common/clock_source.h"

namespace teaseljunction {
namespace {

// Largest write that poll() lets through without blocking (PIPE_BUF).
constexpr size_t kWriteBytes = 4096;

}  // namespace

log_writer::log_writer(int fd) : fd_(fd), thread_([this] { Run(); }) {}

log_writer::~log_writer() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    hurried_ = true;
  }
  thread_.join();
}

void log_writer::Write(absl::string_view line) {
  absl::MutexLock lock(&mutex_);
  if (buffer_.size() + line.size() + 1 > kBufferBytes) {
    ++left_out_;
    return;
  }
  absl::StrAppend(&buffer_, line, "\n");
}

void log_writer::Flush(absl::Duration timeout) {
  absl::MutexLock lock(&mutex_);
  hurried_ = true;
  const auto written = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return buffer_.empty() && !writing_;
  };
  mutex_.AwaitWithTimeout(absl::Condition(&written), timeout);
}

uint64_t log_writer::LeftOut() const {
  absl::MutexLock lock(&mutex_);
  return left_out_;
}

std::string log_writer::Take() {
  std::string taken = std::exchange(buffer_, {});
  if (left_out_ > reported_) {
    absl::StrAppend(&taken, "event=lines_left_out count=", left_out_ - reported_, "\n");
    reported_ = left_out_;
  }
  return taken;
}

bool log_writer::WriteAll(absl::string_view text, absl::Time deadline) const {
  const system_clock_source clock;
  while (!text.empty()) {
    const absl::Duration left = deadline - clock.Now();
    if (left <= absl::ZeroDuration()) return false;
    pollfd wanted = {fd_, POLLOUT, 0};
    const auto wait_ms = static_cast<int>(absl::ToInt64Milliseconds(left)) + 1;
    if (poll(&wanted, 1, wait_ms) <= 0 || (wanted.revents & POLLOUT) == 0) return false;
    const ssize_t written = write(fd_, text.data(), std::min(text.size(), kWriteBytes));
    if (written <= 0) return false;
    text.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

void log_writer::Run() {
  const system_clock_source clock;
  bool stopping = false;
  while (!stopping) {
    std::string taken;
    {
      absl::MutexLock lock(&mutex_);
      const auto has_lines = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
        return stopping_ || !buffer_.empty();
      };
      mutex_.Await(absl::Condition(&has_lines));
      // Lines that follow soon are written with the first one.
      mutex_.AwaitWithTimeout(absl::Condition(&hurried_), kFlushInterval);
      stopping = stopping_;
      taken = Take();
      writing_ = true;
    }
    const absl::Time deadline =
        stopping ? clock.Now() + kFlushInterval : clock.Now() + absl::Seconds(10);
    const bool written = WriteAll(taken, deadline);
    absl::MutexLock lock(&mutex_);
    writing_ = false;
    if (written) continue;
    for (const char character : taken) left_out_ += character == '\n' ? 1 : 0;
  }
}

}  // namespace teaseljunction
