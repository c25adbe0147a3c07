#include "common/log_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace teaseljunction {
namespace {

struct pipe_pair {
  pipe_pair() { REQUIRE(pipe(ends.data()) == 0); }
  ~pipe_pair() {
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

TEST_CASE("lines are written in order and before the end") {
  pipe_pair pipe;
  {
    log_writer writer(pipe.ends[1]);
    writer.Write("first");
    writer.Write("second");
  }
  CHECK(pipe.ReadAll() == "first\nsecond\n");
}

// Guards against a process whose last lines, which tell how it stopped, are lost with it.
TEST_CASE("flushed lines are written although the writer goes on") {
  pipe_pair pipe;
  log_writer writer(pipe.ends[1]);
  writer.Write("first");
  writer.Flush(absl::Seconds(10));
  std::array<char, 16> text;
  REQUIRE(fcntl(pipe.ends[0], F_SETFL, O_NONBLOCK) == 0);
  CHECK(read(pipe.ends[0], text.data(), text.size()) == 6);
}

// Guards against calls that wait for a reader of the log: with nobody reading, far more lines than
// the pipe and the buffer can hold are taken, and the surplus is counted.
TEST_CASE("a reader that is stuck costs lines and not time") {
  pipe_pair pipe;
  const std::string line(1000, 'x');
  const int lines = 2000;
  log_writer writer(pipe.ends[1]);
  for (int i = 0; i < lines; ++i) writer.Write(line);
  CHECK(writer.LeftOut() >= lines - (log_writer::kBufferBytes + 65536) / 1000 - 1);
}

TEST_CASE("a later line tells how many were left out") {
  pipe_pair pipe;
  {
    log_writer writer(pipe.ends[1]);
    fcntl(pipe.ends[1], F_SETPIPE_SZ, 1 << 20);
    const std::string line(1000, 'x');
    for (int i = 0; i < 400; ++i) writer.Write(line);
  }
  CHECK(absl::StrContains(pipe.ReadAll(), "event=lines_left_out count="));
}

}  // namespace teaseljunction
