#include "rpc/internal/buffered_stream.h"

#include <kj/debug.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "rpc/internal/message_memory.h"

namespace teaseljunction {
namespace {

constexpr size_t kSmallMessage = 300;
constexpr size_t kLargeMessage = 100'000;

/// Stream that records its writes. A write completes at once, or when it is told to.
class recording_stream final : public kj::AsyncIoStream {
 public:
  // NOLINTBEGIN(readability-identifier-naming): names of the KJ interface.
  kj::Promise<size_t> tryRead(void*, size_t, size_t) override { return kj::NEVER_DONE; }
  kj::Promise<void> write(const void* buffer, size_t size) override {
    writes.emplace_back(static_cast<const char*>(buffer), size);
    if (fails) return KJ_EXCEPTION(DISCONNECTED, "reset");
    if (!blocks) return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    blocked = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
  }
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    std::string all;
    for (const auto& piece : pieces) {
      all.append(reinterpret_cast<const char*>(piece.begin()), piece.size());
    }
    return write(all.data(), all.size());
  }
  kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
  void shutdownWrite() override { ended = true; }
  void abortRead() override { read_aborted = true; }
  // NOLINTEND(readability-identifier-naming)

  std::vector<std::string> writes;
  kj::Own<kj::PromiseFulfiller<void>> blocked;
  bool blocks = false;
  bool fails = false;
  bool ended = false;
  bool read_aborted = false;
};

/// A buffered stream over a recording one, on a loop whose time stands still.
struct stream_fixture {
  stream_fixture() {
    auto owned = kj::heap<recording_stream>();
    inner = owned.get();
    stream = kj::heap<buffered_stream>(kj::mv(owned), memory, timer, nullptr);
  }

  kj::Promise<void> Write(char content, size_t size = kSmallMessage) {
    kept.push_back(std::make_unique<std::string>(size, content));
    return stream->write(kept.back()->data(), size);
  }

  kj::EventLoop loop;
  kj::WaitScope scope{loop};
  kj::TimerImpl timer{kj::origin<kj::TimePoint>()};
  message_memory memory{1 << 20};
  recording_stream* inner = nullptr;
  kj::Own<buffered_stream> stream;
  std::vector<std::unique_ptr<std::string>> kept;
};

}  // namespace

// Guards against a wake-up of the peer for each message at a daemon with many calls.
TEST_CASE("messages that are written in one turn of the loop are sent together") {
  stream_fixture fixture;
  for (const char content : {'a', 'b', 'c'}) fixture.Write(content).wait(fixture.scope);
  CHECK(fixture.inner->writes.empty());
  CHECK(fixture.stream->UnsentBytes() == 3 * kSmallMessage);
  fixture.scope.poll();
  REQUIRE(fixture.inner->writes.size() == 1);
  CHECK(fixture.inner->writes[0] == std::string(kSmallMessage, 'a') +
                                        std::string(kSmallMessage, 'b') +
                                        std::string(kSmallMessage, 'c'));
  CHECK(fixture.stream->UnsentBytes() == 0);
}

TEST_CASE("a delayed message is sent with the next one or after its delay") {
  stream_fixture fixture;
  fixture.stream->DelayNextWrite();
  fixture.Write('a').wait(fixture.scope);
  fixture.scope.poll();
  CHECK(fixture.inner->writes.empty());
  const bool followed = GENERATE(true, false);
  if (followed) fixture.Write('b').wait(fixture.scope);
  fixture.scope.poll();
  CHECK(fixture.inner->writes.size() == (followed ? 1 : 0));
  fixture.timer.advanceTo(kj::origin<kj::TimePoint>() + 100 * kj::MILLISECONDS);
  fixture.scope.poll();
  REQUIRE(fixture.inner->writes.size() == 1);
  CHECK(fixture.inner->writes[0].size() == (followed ? 2 : 1) * kSmallMessage);
  // The stream goes on after the delay.
  fixture.Write('c').wait(fixture.scope);
  fixture.scope.poll();
  CHECK(fixture.inner->writes.size() == 2);
}

TEST_CASE("messages keep their order around a large one and a peer that does not read") {
  stream_fixture fixture;
  fixture.inner->blocks = true;
  fixture.Write('a').wait(fixture.scope);
  fixture.scope.poll();
  kj::Promise<void> large = fixture.Write('b', kLargeMessage).eagerlyEvaluate(nullptr);
  fixture.scope.poll();
  CHECK(fixture.inner->writes.size() == 1);
  CHECK(fixture.stream->UnsentBytes() == kSmallMessage);
  fixture.inner->blocks = false;
  fixture.inner->blocked->fulfill();
  large.wait(fixture.scope);
  fixture.Write('c').wait(fixture.scope);
  fixture.stream->shutdownWrite();
  CHECK_FALSE(fixture.inner->ended);
  fixture.scope.poll();
  REQUIRE(fixture.inner->writes.size() == 3);
  CHECK(fixture.inner->writes[1] == std::string(kLargeMessage, 'b'));
  CHECK(fixture.inner->writes[2] == std::string(kSmallMessage, 'c'));
  CHECK(fixture.inner->ended);
}

TEST_CASE("a write that fails ends the connection") {
  stream_fixture fixture;
  fixture.inner->fails = true;
  fixture.Write('a').wait(fixture.scope);
  fixture.scope.poll();
  CHECK(fixture.inner->read_aborted);
  CHECK(fixture.stream->UnsentBytes() == 0);
  CHECK_THROWS_AS(fixture.Write('b').wait(fixture.scope), kj::Exception);
}

}  // namespace teaseljunction
