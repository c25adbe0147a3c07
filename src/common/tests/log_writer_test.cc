#include "common/log_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <ctime>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace teaseljunction {
namespace {

struct test_pipe {
  test_pipe() { REQUIRE(pipe(ends.data()) == 0); }
  ~test_pipe() {
    close(ends[0]);
    if (ends[1] >= 0) close(ends[1]);
  }

  std::string ReadAll() {
    close(std::exchange(ends[1], -1));
    std::string text;
    std::array<char, 4096> part;
    ssize_t size = 0;
    while ((size = read(ends[0], part.data(), part.size())) > 0) {
      text.append(part.data(), static_cast<size_t>(size));
    }
    return text;
  }

  std::array<int, 2> ends = {-1, -1};
};

}  // namespace

TEST_CASE("all lines are written in order before the writer is destroyed") {
  test_pipe pipe;
  {
    log_writer writer(pipe.ends[1]);
    writer.Write("first");
    writer.Write("second");
  }
  CHECK(pipe.ReadAll() == "first\nsecond\n");
}

// Guards against the loss of the last lines of a process, which say why it stopped.
TEST_CASE("Flush writes buffered lines while the writer keeps running") {
  test_pipe pipe;
  log_writer writer(pipe.ends[1]);
  writer.Write("first");
  writer.Flush(absl::Seconds(10));
  std::array<char, 16> text;
  REQUIRE(fcntl(pipe.ends[0], F_SETFL, O_NONBLOCK) == 0);
  CHECK(read(pipe.ends[0], text.data(), text.size()) == 6);
}

// Guards against a SIGTERM that kills a daemon at once instead of starting its planned stop,
// because the writer had been started before the signal was blocked.
TEST_CASE("the thread of the writer takes no signals of the process") {
  test_pipe pipe;
  log_writer writer(pipe.ends[1]);
  // A thread takes signals once it runs.
  writer.Write("first");
  writer.Flush(absl::Seconds(10));
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  kill(getpid(), SIGUSR1);
  const timespec timeout = {10, 0};
  CHECK(sigtimedwait(&set, nullptr, &timeout) == SIGUSR1);
}

// Guards against callers that block on the reader of the log: without a reader, far more lines than
// the pipe and the buffer can hold are accepted, and the excess is counted as dropped.
TEST_CASE("a blocked reader causes dropped lines but does not block the caller") {
  test_pipe pipe;
  const std::string line(1000, 'x');
  const int lines = 2000;
  log_writer writer(pipe.ends[1]);
  for (int i = 0; i < lines; ++i) writer.Write(line);
  CHECK(writer.DroppedLines() >= lines - (log_writer::kMaxBufferBytes + 65536) / 1000 - 1);
}

TEST_CASE("a later line reports the number of dropped lines") {
  test_pipe pipe;
  {
    log_writer writer(pipe.ends[1]);
    fcntl(pipe.ends[1], F_SETPIPE_SZ, 1 << 20);
    const std::string line(1000, 'x');
    for (int i = 0; i < 400; ++i) writer.Write(line);
  }
  CHECK(absl::StrContains(pipe.ReadAll(), "event=lines_left_out count="));
}

}  // namespace teaseljunction
