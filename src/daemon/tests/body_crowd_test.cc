#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "daemon/tests/system_process.h"
#include "daemon/tests/wait_until.h"
#include "http/tests/raw_socket.h"

// Guard against a daemon that ends because clients send many large bodies at once: each case starts
// a daemon with a stand-in target, sends one pattern of bodies, and checks that the process lives,
// how much memory and how many descriptors it has used, and that it still answers.

namespace teaseljunction {
namespace {

// Limit of the memory for requests that the daemon gets.
constexpr size_t kMaxRequestMemory = size_t{8} << 20;
// Memory that each connection may take besides: its parser, its head and a part of its input.
constexpr size_t kBytesPerConnection = size_t{128} << 10;
constexpr size_t kCrowd = 120;
// The operators' listener accepts 64 connections; some are left for the request afterwards.
constexpr size_t kOperatorsCrowd = 56;
// Below the limit of one body, 1 MiB.
constexpr size_t kBodyBytes = 1'000'000;
constexpr size_t kSmallChunksBodyBytes = 600'000;
constexpr size_t kLargeChunkBytes = 60'000;
constexpr size_t kMaxSmallChunkBytes = 16;
constexpr size_t kPieceBytes = 20'000;
constexpr size_t kOversizedBodyBytes = size_t{8} << 20;
// One in this many clients sends its whole body; the others stop before its end.
constexpr size_t kClientsPerWholeBody = 10;
// Descriptors for each client: its connection, and one towards the target.
constexpr size_t kDescriptorsPerClient = 2;
constexpr size_t kDescriptorMargin = 32;
// Attempts to start the processes on unused ports.
constexpr int kMaxStarts = 3;
constexpr absl::Duration kSendTime = absl::Seconds(4);
constexpr absl::Duration kHoldTime = absl::Seconds(1);

constexpr absl::string_view kManifest = R"({"version": 1, "services": [{"name": "store"}],
  "routes": [{"name": "item", "method": "POST", "path": "/items", "service": "store",
              "idempotent": true, "open": true, "timeoutMs": 5000}]})";

uint16_t PortOf(absl::string_view address) {
  uint32_t port = 0;
  REQUIRE(absl::SimpleAtoi(address.substr(address.rfind(':') + 1), &port));
  return static_cast<uint16_t>(port);
}

std::string Post(absl::string_view path, absl::string_view headers, absl::string_view body) {
  return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: test\r\n", headers, "\r\n\r\n", body);
}

std::string PostWithLength(absl::string_view path, size_t length, absl::string_view body) {
  return Post(path, absl::StrCat("Content-Length: ", length), body);
}

// Returns a chunked request with chunks of the sizes that `chunk_bytes` gives for each number.
std::string PostChunked(absl::string_view path, size_t body_bytes,
                        const std::function<size_t(size_t)>& chunk_bytes, bool complete) {
  std::string text = Post(path, "Transfer-Encoding: chunked", "");
  size_t sent = 0;
  for (size_t number = 0; sent < body_bytes; ++number) {
    const size_t size = std::min(chunk_bytes(number), body_bytes - sent);
    absl::StrAppendFormat(&text, "%x\r\n", size);
    text.append(size, 'a').append("\r\n");
    sent += size;
  }
  if (complete) text.append("0\r\n\r\n");
  return text;
}

// Clients that send one text each, all at the same time, and keep their connections open.
class crowd {
 public:
  crowd(uint16_t port, size_t clients, std::function<const std::string&(size_t)> text_of)
      : text_of_(std::move(text_of)) {
    for (size_t i = 0; i < clients; ++i) {
      sockets_.push_back(Connect(port));
      sent_.push_back(0);
    }
  }
  ~crowd() {
    for (const int fd : sockets_) close(fd);
  }
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  // Sends in turns, `piece_bytes` from each client, until all is sent or the time is over.
  void Send(size_t piece_bytes, absl::Duration time) {
    const absl::Time end = absl::Now() + time;
    bool all_sent = false;
    while (!all_sent && absl::Now() < end) {
      all_sent = true;
      bool any_sent = false;
      for (size_t i = 0; i < sockets_.size(); ++i) {
        const std::string& text = text_of_(i);
        if (sent_[i] == text.size()) continue;
        all_sent = false;
        any_sent = SendPiece(i, text, piece_bytes) || any_sent;
      }
      if (!any_sent) absl::SleepFor(kPollInterval);
    }
  }

 private:
  static int Connect(uint16_t port) {
    raw_socket connected = raw_socket::Connect(port);
    REQUIRE(connected.connected());
    const int fd = connected.Release();
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
  }

  // Returns true if something was sent. A client whose connection has failed sends nothing more.
  bool SendPiece(size_t client, const std::string& text, size_t piece_bytes) {
    size_t& sent = sent_[client];
    const ssize_t count = send(sockets_[client], text.data() + sent,
                               std::min(piece_bytes, text.size() - sent), MSG_NOSIGNAL);
    if (count > 0) sent += static_cast<size_t>(count);
    if (count < 0 && errno != EAGAIN) sent = text.size();
    return count > 0;
  }

  const std::function<const std::string&(size_t)> text_of_;
  std::vector<int> sockets_;
  std::vector<size_t> sent_;
};

std::string Answer(uint16_t port, const std::string& request) {
  const raw_socket connection = raw_socket::Connect(port);
  if (!connection.connected() || !connection.Write(request)) return "";
  return connection.ReadUntil("\r\n\r\n");
}

// A daemon that is its own control group, with a stand-in target.
class crowd_fixture {
 public:
  crowd_fixture()
      : directory_(std::filesystem::temp_directory_path() /
                   absl::StrCat("body-crowd-test-", getpid())),
        callers_(UnusedAddress()),
        operators_(UnusedAddress()) {
    // Another process may take a port between its choice and the start of the daemon, which then
    // ends at once.
    for (int starts = 0; starts < kMaxStarts; ++starts) {
      StartProcesses();
      if (WaitUntil([this] { return !daemon_->IsRunning() || IsManifestAccepted(); }) &&
          daemon_->IsRunning()) {
        break;
      }
      UNSCOPED_INFO(ReadLog());
      REQUIRE_FALSE(daemon_->IsRunning());
      callers_ = UnusedAddress();
      operators_ = UnusedAddress();
    }
    REQUIRE(daemon_->IsRunning());
    REQUIRE(WaitUntil([this] { return IsCallAnswered(); }));
    resident_before_ = daemon_->ResidentBytes();
    descriptors_before_ = daemon_->OpenDescriptors();
  }

  ~crowd_fixture() {
    target_.reset();
    daemon_.reset();
    std::filesystem::remove_all(directory_);
  }

  void StartProcesses() {
    target_.reset();
    daemon_.reset();
    std::filesystem::remove_all(directory_);
    std::filesystem::create_directories(directory_);
    const std::string rpc = UnusedAddress();
    daemon_ = std::make_unique<system_process>(
        "teaseljunctiond",
        std::vector<std::string>{"--daemon_id=d1", "--data_centre=dc1", "--control",
                                 "--listen=" + callers_, "--operators_listen=" + operators_,
                                 "--rpc_listen=" + rpc, "--control_peers=" + rpc,
                                 "--data_dir=" + (directory_ / "data").string()},
        std::vector<std::string>{
            absl::StrCat("TEASELJUNCTION_MAX_REQUEST_MEMORY=", kMaxRequestMemory)},
        (directory_ / "daemon.log").string());
    target_ = std::make_unique<system_process>(
        "teaseljunction-standin",
        std::vector<std::string>{"--listen=" + UnusedAddress(), "--service=store", "--slots=16",
                                 "--service_time=5ms", "--daemon=" + callers_},
        std::vector<std::string>{}, (directory_ / "target.log").string());
  }

  bool IsManifestAccepted() const {
    return absl::StrContains(Answer(operators_port(), PostWithLength("/teaseljunction/v1/manifest",
                                                                     kManifest.size(), kManifest)),
                             " 200 ");
  }

  std::string ReadLog() const {
    std::ifstream log(directory_ / "daemon.log");
    return {std::istreambuf_iterator<char>(log), std::istreambuf_iterator<char>()};
  }

  uint16_t callers_port() const { return PortOf(callers_); }
  uint16_t operators_port() const { return PortOf(operators_); }

  // Lets the clients send and then checks the daemon.
  void Run(uint16_t port, size_t clients, size_t piece_bytes,
           const std::function<const std::string&(size_t)>& text_of) {
    size_t descriptors = 0;
    {
      crowd senders(port, clients, text_of);
      senders.Send(piece_bytes, kSendTime);
      absl::SleepFor(kHoldTime);
      descriptors = daemon_->OpenDescriptors();
    }
    const size_t peak = daemon_->PeakResidentBytes();
    const size_t bound = resident_before_ + 2 * kMaxRequestMemory + clients * kBytesPerConnection;
    WARN("resident before " << resident_before_ << ", peak " << peak << ", bound " << bound
                            << "; descriptors " << descriptors_before_ << ", then " << descriptors);
    CHECK(daemon_->IsRunning());
    CHECK(peak > 0);
    CHECK(peak <= bound);
    CHECK(descriptors <= descriptors_before_ + kDescriptorsPerClient * clients + kDescriptorMargin);
    CHECK(WaitUntil([this] { return IsCallAnswered(); }));
    CHECK(absl::StrContains(
        Answer(operators_port(), "GET /teaseljunction/v1/status HTTP/1.1\r\nHost: test\r\n\r\n"),
        " 200 "));
  }

  // Runs clients of which most send `unfinished` and the others `whole`.
  void RunMostUnfinished(uint16_t port, size_t clients, size_t piece_bytes,
                         const std::string& unfinished, const std::string& whole) {
    Run(port, clients, piece_bytes, [&](size_t client) -> const std::string& {
      return client % kClientsPerWholeBody == 0 ? whole : unfinished;
    });
  }

 private:
  bool IsCallAnswered() const {
    return absl::StrContains(Answer(callers_port(), PostWithLength("/items", 5, "1 mat")), " 200 ");
  }

  const std::filesystem::path directory_;
  std::string callers_;
  std::string operators_;
  std::unique_ptr<system_process> daemon_;
  std::unique_ptr<system_process> target_;
  size_t resident_before_ = 0;
  size_t descriptors_before_ = 0;
};

std::string WholeBody(absl::string_view path) {
  return PostWithLength(path, kBodyBytes, std::string(kBodyBytes, 'a'));
}

std::string AllButOneByte(absl::string_view path) {
  return PostWithLength(path, kBodyBytes, std::string(kBodyBytes - 1, 'a'));
}

size_t LargeChunk(size_t) { return kLargeChunkBytes; }
size_t SmallChunk(size_t number) { return 1 + number % kMaxSmallChunkBytes; }

TEST_CASE("A crowd that sends whole large bodies at once does not end the daemon", "[.][crowd]") {
  crowd_fixture fixture;
  const std::string whole = WholeBody("/items");
  fixture.Run(fixture.callers_port(), kCrowd, whole.size(),
              [&](size_t) -> const std::string& { return whole; });
}

TEST_CASE("A crowd that stops one byte short of large bodies does not end the daemon",
          "[.][crowd]") {
  crowd_fixture fixture;
  fixture.RunMostUnfinished(fixture.callers_port(), kCrowd, kPieceBytes, AllButOneByte("/items"),
                            WholeBody("/items"));
}

TEST_CASE("A crowd with unfinished bodies in large chunks does not end the daemon", "[.][crowd]") {
  crowd_fixture fixture;
  fixture.RunMostUnfinished(fixture.callers_port(), kCrowd, kPieceBytes,
                            PostChunked("/items", kBodyBytes, LargeChunk, false),
                            PostChunked("/items", kBodyBytes, LargeChunk, true));
}

TEST_CASE("A crowd with unfinished bodies in very small chunks does not end the daemon",
          "[.][crowd]") {
  crowd_fixture fixture;
  fixture.RunMostUnfinished(fixture.callers_port(), kCrowd, kPieceBytes,
                            PostChunked("/items", kSmallChunksBodyBytes, SmallChunk, false),
                            PostChunked("/items", kSmallChunksBodyBytes, SmallChunk, true));
}

TEST_CASE("A crowd that announces bodies over the limit does not end the daemon", "[.][crowd]") {
  crowd_fixture fixture;
  const std::string oversized =
      PostWithLength("/items", kOversizedBodyBytes, std::string(kOversizedBodyBytes, 'a'));
  fixture.Run(fixture.callers_port(), kCrowd, kPieceBytes,
              [&](size_t) -> const std::string& { return oversized; });
}

TEST_CASE("A crowd that sends bodies over the limit in chunks does not end the daemon",
          "[.][crowd]") {
  crowd_fixture fixture;
  const std::string oversized = PostChunked("/items", kOversizedBodyBytes, LargeChunk, false);
  fixture.Run(fixture.callers_port(), kCrowd, kPieceBytes,
              [&](size_t) -> const std::string& { return oversized; });
}

TEST_CASE("A crowd with unfinished bodies at the operators' listener does not end the daemon",
          "[.][crowd]") {
  crowd_fixture fixture;
  fixture.RunMostUnfinished(fixture.operators_port(), kOperatorsCrowd, kPieceBytes,
                            AllButOneByte("/teaseljunction/v1/manifest"),
                            WholeBody("/teaseljunction/v1/manifest"));
}

}  // namespace
}  // namespace teaseljunction
