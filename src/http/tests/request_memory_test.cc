#include "http/request_memory.h"

#include <catch2/catch.hpp>
#include <memory>

namespace teaseljunction {
namespace {

constexpr uint64_t kMax = 1'000'000;
const absl::Time kStart = absl::FromUnixSeconds(1000);
const absl::Time kLater = kStart + absl::Seconds(2);

struct client {
  explicit client(const std::shared_ptr<request_memory>& memory)
      : account(memory, [this] { given_up = true; }) {}

  bool given_up = false;
  memory_client account;
};

std::shared_ptr<request_memory> NewAccount() { return std::make_shared<request_memory>(kMax); }

}  // namespace

// Guards against connections whose end leaves a charge behind.
TEST_CASE("what a client holds is released with it") {
  const auto memory = NewAccount();
  {
    client body(memory);
    CHECK(body.account.Admit(600'000, kStart));
    const auto copies = body.account.ReserveCopies(300'000, kStart);
    REQUIRE(copies);
    client waiting(memory);
    CHECK_FALSE(waiting.account.Admit(600'000, kStart));
    const memory_hold hold(memory, 5'000);
    CHECK(memory->Status().held_bytes == 605'000);
    CHECK(memory->Status().copy_bytes == 900'000);
    CHECK(memory->Status().waiting == 1);
  }
  CHECK(memory->Status().held_bytes == 0);
  CHECK(memory->Status().copy_bytes == 0);
  CHECK(memory->Status().waiting == 0);
}

// Guards against small bodies that always take the room a large one waits for.
TEST_CASE("room is given in the order of the line") {
  const auto memory = NewAccount();
  client first(memory);
  client large(memory);
  client small(memory);
  REQUIRE(first.account.Admit(800'000, kStart));
  CHECK_FALSE(large.account.Admit(900'000, kStart));
  CHECK_FALSE(small.account.Admit(100'000, kStart));
  first.account.SetBody(0, kStart);
  CHECK_FALSE(small.account.Admit(100'000, kStart));
  CHECK(large.account.Admit(900'000, kStart));
  CHECK(small.account.Admit(100'000, kStart));
}

// Guards against a largest body that can never be received or run.
TEST_CASE("the only body has room whatever its size") {
  const auto memory = NewAccount();
  client only(memory);
  CHECK(only.account.Admit(2 * kMax, kStart));
  CHECK(only.account.ReserveCopies(2 * kMax, kStart));
}

// Guards against stalled clients that hold all memory, and against the loss of other bodies.
TEST_CASE("the largest stalled body is given up for others") {
  const auto memory = NewAccount();
  client small(memory);
  client largest(memory);
  client sending(memory);
  client waiting(memory);
  REQUIRE(small.account.Admit(200'000, kStart));
  REQUIRE(largest.account.Admit(300'000, kStart));
  REQUIRE(sending.account.Admit(500'000, kStart));
  REQUIRE_FALSE(waiting.account.Admit(300'000, kLater - absl::Milliseconds(1)));
  sending.account.SetBody(500'000, kLater);
  memory->RelieveLine(kLater);
  CHECK_FALSE(largest.given_up);
  memory->RelieveLine(kLater + request_memory::kMaxWait);
  CHECK(largest.given_up);
  CHECK_FALSE(small.given_up);
  CHECK_FALSE(sending.given_up);
  CHECK(memory->Status().given_up_bodies == 1);
}

// Guards against bodies of unknown length that wait for each other.
TEST_CASE("the first in line may exceed the limit when all incomplete bodies wait") {
  const auto memory = NewAccount();
  client one(memory);
  client two(memory);
  REQUIRE(one.account.Admit(500'000, kStart));
  REQUIRE(two.account.Admit(500'000, kStart));
  REQUIRE_FALSE(one.account.Admit(250'000, kStart));
  REQUIRE_FALSE(two.account.Admit(250'000, kStart));
  memory->RelieveLine(kLater);
  CHECK_FALSE(two.account.Admit(250'000, kLater));
  CHECK(one.account.Admit(250'000, kLater));
  memory->RelieveLine(kLater + absl::Milliseconds(1));
  CHECK_FALSE(two.account.Admit(250'000, kLater));
  one.account.SetBody(0, kLater);
  CHECK(two.account.Admit(250'000, kLater));
  CHECK_FALSE(one.given_up);
  CHECK_FALSE(two.given_up);
}

}  // namespace teaseljunction
