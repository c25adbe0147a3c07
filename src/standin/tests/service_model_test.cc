#include "standin/service_model.h"

#include <catch2/catch.hpp>
#include <vector>

#include "standin/key_detector.h"

namespace teaseljunction {
namespace {

class fixed_random : public random_source {
 public:
  uint64_t Next() override { return uint64_t{1} << 63; }  // Fraction() returns 0.5.
};

standin_request Request(std::vector<http_header> headers = {}, std::string body = "") {
  return {"POST", "/orders", std::move(headers), std::move(body)};
}

standin_settings Settings(uint32_t slots, bool shed = false) {
  standin_settings settings;
  settings.service = "s";
  settings.slots = slots;
  settings.shed = shed;
  return settings;
}

const absl::Time kStart = absl::UnixEpoch();

}  // namespace

// Guards against running more requests than slots, which would hide missing admission control.
TEST_CASE("requests beyond the slots are queued in order") {
  fixed_random random;
  service_model model(Settings(1), kStart, random);
  CHECK(model.Submit(1, Request(), kStart).started.size() == 1);
  CHECK(model.Submit(2, Request(), kStart).started.empty());
  CHECK(model.Submit(3, Request({{"Teaseljunction-Deadline-Ms", "5"}}), kStart).started.empty());
  CHECK(model.Submit(4, Request(), kStart).started.empty());
  CHECK(model.Load() == 1);
  CHECK(model.Cancel(2, kStart).started.empty());
  const model_effects effects = model.Finish(1, false, kStart + absl::Milliseconds(5));
  CHECK(effects.expired == std::vector<uint64_t>{3});
  REQUIRE(effects.started.size() == 1);
  CHECK(effects.started[0].id == 4);
  CHECK(model.Finish(1, false, kStart).started.empty());
  CHECK(model.Cancel(4, kStart).started.empty());
  const standin_counters counters = model.Counters();
  CHECK(counters.started == 2);
  CHECK(counters.completed == 1);
  CHECK(counters.cancelled == 2);
  CHECK(counters.expired == 1);
  CHECK(counters.running == 0);
  CHECK(counters.queued == 0);
}

// Guards against a second execution that the at-most-once checks would miss.
TEST_CASE("executions are counted per identifier, shed requests are not") {
  fixed_random random;
  service_model model(Settings(2, true), kStart, random);
  const std::vector<http_header> headers = {{"idempotency-key", "k1"},
                                            {"teaseljunction-request-id", "r1"}};
  for (uint64_t id = 1; id <= 3; ++id) {
    CHECK(model.Submit(id, Request(headers), kStart).shed == (id == 3));
  }
  const standin_counters counters = model.Counters();
  REQUIRE(counters.idempotency_keys.size() == 1);
  CHECK(counters.idempotency_keys[0].value == "k1");
  CHECK(counters.idempotency_keys[0].count == 2);
  REQUIRE(counters.request_ids.size() == 1);
  CHECK(counters.request_ids[0].count == 2);
  CHECK(counters.shed == 1);
}

// Guards against configured faults that are not injected.
TEST_CASE("service time, failures and crashes follow the settings") {
  fixed_random random;
  standin_settings settings = Settings(10);
  settings.service_time = absl::Milliseconds(10);
  settings.slow_start = absl::Seconds(2);
  settings.crash_on = "boom";
  service_model model(settings, kStart, random);
  CHECK(model.Submit(1, Request(), kStart).started[0].service_time == absl::Milliseconds(40));
  const absl::Time warm = kStart + absl::Seconds(2);
  CHECK(model.Submit(2, Request(), warm).started[0].service_time == absl::Milliseconds(10));
  CHECK_FALSE(model.Submit(3, Request(), warm).started[0].fails);
  model.UpdateSettings({3, 0.6, absl::nullopt});
  const model_effects effects = model.Submit(4, Request({}, "a boom b"), warm);
  CHECK(effects.started[0].service_time == absl::Milliseconds(30));
  CHECK(effects.started[0].fails);
  CHECK(effects.started[0].crashes);
}

// Guards against a caller's key that reaches a target undetected.
TEST_CASE("keys are detected in headers, path and body") {
  CHECK(FindKeyLocations(Request({{"Host", "a"}, {"Accept", "*/*"}})).empty());
  CHECK(FindKeyLocations(Request({{"Authorization", "Bearer x"}})) ==
        std::vector<std::string>{"authorization"});
  CHECK(FindKeyLocations(Request({{"X-Other", "tjk_00"}}, "{\"k\":\"tjk_00\"}")) ==
        std::vector<std::string>{"x-other", "body"});
  CHECK(FindKeyLocations({"GET", "/a?key=tjk_00", {}, ""}) == std::vector<std::string>{"query"});
  fixed_random random;
  service_model model(Settings(1), kStart, random);
  model.Submit(1, Request({{"X-Api-Key", "x"}}), kStart);
  REQUIRE(model.Counters().key_like_headers.size() == 1);
  CHECK(model.Counters().key_like_headers[0].value == "x-api-key");
}

}  // namespace teaseljunction
