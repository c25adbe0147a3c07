#include "gateway/target_announcement_handler.h"

#include <catch2/catch.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "gateway/tests/mocks/target_executor_environment.h"

namespace teaseljunction {
namespace {

constexpr int kNoContent = 204;
constexpr int kBadRequest = 400;
constexpr char kGood[] =
    R"({"service":"stock","incarnation":50,"slots":8,"draining":false,"load":0.5,)"
    R"("address":"127.0.0.1:81"})";

struct announcing_target : target_executor_environment {
  target_announcement_handler handler{executor};

  int Announce(const std::string& body) {
    http_request request;
    request.method = "POST";
    request.body = body;
    return handler.Handle(request).status;
  }
};

std::string With(absl::string_view member, absl::string_view value) {
  return absl::StrReplaceAll(kGood, {{member, value}});
}

std::vector<std::string> OddAnnouncements() {
  std::vector<std::string> odd = {
      "",
      "[]",
      "null",
      "{}",
      "\xff\xfe",
      std::string(3, '\0'),
      absl::StrCat(kGood, "x"),
      With("\"stock\"", "\"sto\xff\""),
      With("\"stock\"", R"("sto\nck")"),
      With("\"stock\"", R"("sto\u0000ck")"),
      With("\"stock\"", R"("")"),
      With("\"stock\"", absl::StrCat("\"", std::string(100'000, 's'), "\""))};
  const auto add = [&odd](absl::string_view member, std::initializer_list<const char*> values) {
    const std::string name(member.substr(0, member.find(':') + 1));
    for (const char* value : values) odd.push_back(With(member, absl::StrCat(name, value)));
  };
  add("\"incarnation\":50",
      {"-1", "1.5", "1e400", "1.8e20", "18446744073709551615", "9007199254740992", "NaN",
       "Infinity", "null", "true", "\"50\"", "[]", "{}"});
  add("\"slots\":8", {"0", "-8", "0.5", "1e400", "4294967297", "4294967295", "1.8e20", "null",
                      "false", "\"8\"", "[8]"});
  add("\"load\":0.5", {"-0.1", "1.01", "1e300", "1e400", "NaN", "null", "true", "\"0.5\"", "[]"});
  add("\"draining\":false", {"0", "null", "\"false\"", "[]"});
  add("\"service\":\"stock\"", {"1", "null", "[\"stock\"]", "{}"});
  add("\"address\":\"127.0.0.1:81\"", {"1", "null", "[]", "{}"});
  for (const char* address : {"",
                              ":",
                              ":81",
                              "127.0.0.1",
                              "127.0.0.1:",
                              "127.0.0.1:0",
                              "127.0.0.1:-1",
                              "127.0.0.1:+81",
                              "127.0.0.1: 81",
                              "127.0.0.1:081",
                              "127.0.0.1:81 ",
                              " 127.0.0.1:81",
                              "127.0.0.1:65536",
                              "127.0.0.1:99999999999999999999",
                              "127.0.0.1:81/x",
                              "127.0.0.1:8x",
                              "127.0.0:81",
                              "256.0.0.1:81",
                              "stock.example:81",
                              "http://127.0.0.1:81",
                              "::1:81",
                              "[::1]",
                              "[::1:81",
                              "[stock]:81",
                              "127.0.0.1\\u0000:81",
                              "127.0.0.1:81\\r\\nX: y"}) {
    odd.push_back(With("127.0.0.1:81", address));
  }
  for (const char* member : {"\"service\":\"stock\",", "\"incarnation\":50,", "\"slots\":8,",
                             ",\"address\":\"127.0.0.1:81\""}) {
    odd.push_back(With(member, ""));
  }
  return odd;
}

}  // namespace

// Guards against an odd announcement of another writer that replaces the target or shuts it out.
TEST_CASE("odd announcements are refused and the known target stays in use") {
  announcing_target target;
  REQUIRE(target.Announce(kGood) == kNoContent);
  const auto known = target.executor.CurrentTarget();
  for (const std::string& odd : OddAnnouncements()) {
    CAPTURE(odd.substr(0, 300));
    CHECK(target.Announce(odd) == kBadRequest);
    CHECK(target.executor.CurrentTarget() == known);
    CHECK(target.Announce(kGood) == kNoContent);
  }
}

TEST_CASE("announcements in every notation that the interface allows are accepted") {
  for (const std::string& body :
       {std::string(kGood), With(",\"load\":0.5", ""), With(":50", ":5e1"), With(":50", ":50.0"),
        With(":50", ":9007199254740991"), With(":8,", ":1,"), With(":0.5", ":0"),
        With(":0.5", ":1"), With("127.0.0.1:81", "[::1]:65535"), With("127.0.0.1:81", "10.0.0.9:1"),
        absl::StrReplaceAll(kGood, {{"\"load\":0.5", "\"zone\":[{\"x\":1e9}]"}})}) {
    CAPTURE(body);
    announcing_target target;
    CHECK(target.Announce(body) == kNoContent);
    CHECK(target.executor.CurrentTarget());
  }
}

}  // namespace teaseljunction
