#include "daemon/settings.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace teaseljunction {
namespace {

// Reads settings from valid flags followed by `extra`. The last value of a flag takes effect.
outcome<daemon_settings> Read(std::vector<std::string> extra) {
  std::vector<std::string> flags = {"teaseljunctiond",
                                    "--listen=127.0.0.1:8080",
                                    "--data_centre=dc1",
                                    "--daemon_id=d1",
                                    "--control=false",
                                    "--data_dir=",
                                    "--freshness_lease=5s",
                                    "--http_threads=2",
                                    "--max_body_bytes=1000",
                                    "--control_peers=127.0.0.1:8082",
                                    "--control_voters=0",
                                    "--durable_copies=1",
                                    "--target_lease=3s",
                                    "--max_answer_memory=33554432",
                                    "--max_request_memory=134217728",
                                    "--target_drain_time=2s",
                                    "--control_replacement_timeout=4s"};
  flags.insert(flags.end(), extra.begin(), extra.end());
  std::vector<char*> arguments;
  for (std::string& text : flags) arguments.push_back(text.data());
  return Capture<daemon_settings>(
      [&] { return ReadSettings(static_cast<int>(arguments.size()), arguments.data()); });
}

}  // namespace

// Guards against an invalid setting that is detected only when it is used, or whose error message
// does not name it.
TEST_CASE("an invalid setting is rejected with an error that names it") {
  struct setting_case {
    std::string flag;
    std::string name;
  };
  const std::vector<setting_case> cases = {
      {"--listen=localhost:80", "--listen"},
      {"--listen=127.0.0.1", "--listen"},
      {"--listen=127.0.0.1:70000", "--listen"},
      {"--control_peers=", "--control_peers"},
      {"--control_peers=127.0.0.1:1,x", "--control_peers"},
      {"--data_centre=", "--data_centre"},
      {"--daemon_id=a b", "--daemon_id"},
      {"--control=true", "--data_dir"},
      {"--freshness_lease=1h", "--freshness_lease"},
      {"--http_threads=65", "--http_threads"},
      {"--control_voters=10", "--control_voters"},
      {"--durable_copies=0", "--durable_copies"},
      {"--control_replacement_timeout=0s", "--control_replacement_timeout"},
      {"--max_answer_memory=1000", "--max_answer_memory"},
      {"--max_request_memory=1000", "--max_request_memory"},
      {"--max_request_memory=5000000000", "--max_request_memory"},
      {"--target_lease=0s", "--target_lease"},
      {"--target_drain_time=0s", "--target_drain_time"},
      {"--max_body_bytes=0", "--max_body_bytes"},
      {"unexpected", "unexpected argument"},
  };
  REQUIRE(Read({}).index() == 0);
  for (const setting_case& test_case : cases) {
    INFO(test_case.flag);
    const auto read = Read({test_case.flag});
    REQUIRE(read.index() == 1);
    CHECK(std::get<error>(read).kind == error_kind::kSettingInvalid);
    CHECK(std::get<error>(read).detail.find(test_case.name) != std::string::npos);
  }
}

// Guards against an environment variable that is ignored, or that overrides a given flag.
TEST_CASE("environment variables set the flags that the command line does not") {
  setenv("TEASELJUNCTION_TOKEN_WAIT", "70ms", 1);
  setenv("TEASELJUNCTION_DAEMON_ID", "from-environment", 1);
  const auto read = Read({});
  unsetenv("TEASELJUNCTION_TOKEN_WAIT");
  unsetenv("TEASELJUNCTION_DAEMON_ID");
  REQUIRE(read.index() == 0);
  CHECK(std::get<daemon_settings>(read).token_wait == absl::Milliseconds(70));
  CHECK(std::get<daemon_settings>(read).daemon_id == "d1");
}

}  // namespace teaseljunction
