#include "http/internal/request_row.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace teaseljunction {
namespace {

constexpr overlap_limits kLimits = {4, 1000};

received_request RequestOf(int number) {
  received_request request;
  request.message.path = absl::StrCat("/", number);
  return request;
}

http_response AnswerOf(absl::string_view path) { return {200, {}, std::string(path)}; }

/// Passes all requests that may be handled to the handler and returns their paths.
std::vector<std::string> Handle(request_row& row) {
  std::vector<std::string> handled;
  while (const row_entry* next = row.NextToHandle()) handled.push_back(next->request.message.path);
  return handled;
}

}  // namespace

// Guards against answers in the order in which their requests end.
TEST_CASE("answers leave in the order of their requests") {
  std::mt19937 random(7);
  overlap_usage usage({1000, 1000000});
  for (int run = 0; run < 100; ++run) {
    request_row row({16, 1000000}, usage);
    std::vector<uint64_t> open;
    std::vector<std::string> answered;
    int added = 0;
    while (answered.size() < 40) {
      if (added < 40 && row.HasRoom() && random() % 2 == 0) {
        row.Add(RequestOf(added), random() % 8 != 0);
        ++added;
      }
      while (const row_entry* next = row.NextToHandle()) open.push_back(next->number);
      if (!open.empty() && random() % 2 == 0) {
        const size_t chosen = random() % open.size();
        row.SetAnswer(open[chosen], AnswerOf(absl::StrCat("/", open[chosen])));
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(chosen));
      }
      while (auto entry = row.TakeAnswered()) answered.push_back(entry->answer->body);
    }
    for (int i = 0; i < 40; ++i) REQUIRE(answered[i] == absl::StrCat("/", i));
  }
  CHECK(usage.HasRoom());
}

// Guards against a request that must run once and is sent while an earlier one can still close the
// connection.
TEST_CASE("a request that may not overlap is handled alone") {
  overlap_usage usage({100, 100000});
  request_row row(kLimits, usage);
  row.Add(RequestOf(0), true);
  row.Add(RequestOf(1), false);
  row.Add(RequestOf(2), true);
  CHECK(Handle(row) == std::vector<std::string>{"/0"});
  row.SetAnswer(0, AnswerOf("a"));
  CHECK(Handle(row).empty());
  CHECK(row.TakeAnswered()->number == 0);
  CHECK(Handle(row) == std::vector<std::string>{"/1"});
  row.SetAnswer(1, AnswerOf("b"));
  CHECK(row.TakeAnswered()->number == 1);
  CHECK(Handle(row) == std::vector<std::string>{"/2"});
}

// Guards against one client that occupies the daemon with a long row of requests.
TEST_CASE("requests beyond the limit of their connection wait") {
  overlap_usage usage({100, 100000});
  request_row row(kLimits, usage);
  int added = 0;
  while (row.HasRoom()) row.Add(RequestOf(added++), true);
  CHECK(added == kLimits.requests + 2);
  CHECK(Handle(row).size() == kLimits.requests + 1);
  row.SetAnswer(2, AnswerOf("early"));
  CHECK(Handle(row).empty());
  row.SetAnswer(0, AnswerOf("first"));
  CHECK(row.TakeAnswered().has_value());
  CHECK(Handle(row).size() == 1);
}

// Guards against memory that grows with answers which wait behind a slow one.
TEST_CASE("answers that wait for their turn count with their size") {
  overlap_usage usage({100, 1500});
  request_row row(kLimits, usage);
  row.Add(RequestOf(0), true);
  row.Add(RequestOf(1), true);
  CHECK(Handle(row).size() == 2);
  row.SetAnswer(1, AnswerOf(std::string(1000, 'x')));
  CHECK_FALSE(row.HasRoom());
  request_row other(kLimits, usage);
  other.Add(RequestOf(0), true);
  other.Add(RequestOf(1), true);
  CHECK(Handle(other).size() == 2);
  other.SetAnswer(1, AnswerOf(std::string(600, 'x')));
  other.Add(RequestOf(2), true);
  CHECK(Handle(other).empty());
  row.SetAnswer(0, AnswerOf("first"));
  CHECK(row.TakeAnswered().has_value());
  CHECK(row.TakeAnswered()->answer->body.size() == 1000);
  CHECK(row.HasRoom());
  CHECK(Handle(other).size() == 1);
}

// Guards against usage that stays counted when a connection is closed with open requests.
TEST_CASE("the requests of a closed connection no longer count") {
  overlap_usage usage({2, 100});
  {
    request_row row(kLimits, usage);
    for (int i = 0; i < 3; ++i) row.Add(RequestOf(i), true);
    CHECK(Handle(row).size() == 3);
    CHECK_FALSE(usage.HasRoom());
    CHECK(row.TakeAll().size() == 3);
    CHECK(usage.HasRoom());
    CHECK(row.IsEmpty());
    for (int i = 0; i < 3; ++i) row.Add(RequestOf(i), true);
    CHECK(Handle(row).size() == 3);
  }
  CHECK(usage.HasRoom());
}

}  // namespace teaseljunction
