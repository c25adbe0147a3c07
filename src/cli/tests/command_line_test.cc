#include "cli/command_line.h"

#include <catch2/catch.hpp>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "absl/flags/reflection.h"
#include "cli/commands.h"
#include "cli/tests/mocks/fake_transport.h"

namespace teaseljunction {
namespace {

struct run_result {
  exit_code code = exit_code::kOk;
  std::string out;
  std::string err;
};

run_result Run(fake_transport& transport, const std::vector<std::string>& arguments,
               const std::map<std::string, std::string>& variables = {}) {
  const absl::FlagSaver saver;
  std::ostringstream out;
  std::ostringstream err;
  const auto lookup = [&](const std::string& name) {
    const auto found = variables.find(name);
    return found == variables.end() ? nullptr : found->second.c_str();
  };
  run_result run;
  run.code = RunCommandLine(AllCommands(), arguments, lookup, {out, err, transport});
  run.out = out.str();
  run.err = err.str();
  return run;
}

}  // namespace

// Guards against an invalid command line that is executed in part.
TEST_CASE("usage errors end with 2 and send nothing") {
  const std::vector<std::vector<std::string>> lines = {
      {},
      {"manifest"},
      {"manifest", "chek", "a"},
      {"manifest", "check"},
      {"manifest", "check", "a", "b"},
      {"manifest", "check", "/no/such/file"},
      {"status"},
      {"status", "--servers"},
      {"status", "--servers=a:1", "--timeout=soon"},
      {"status", "--servers=a:1", "--timeout=-1s"},
      {"status", "--servers=a:1", "--key=x"},
      {"status", "--servers=a:1", "--json=maybe"},
      {"members", "add", "0", "a:1", "dc", "--servers=a:1"},
      {"members", "promote", "18446744073709551616", "--servers=a:1"},
      {"drain", "--servers=a:1,b:1"},
      {"call", "GET", "orders", "--entry=a:1"},
      {"call", "GET", "/orders"},
      {"call", "GET", "/orders", "--entry=a:1", "--timeout=0"},
      {"call", "GET", "/orders", "--entry=a:1", "--key=a", "--key_file=b"},
      {"call", "GET", "/orders", "--entry=a:1", "--idempotency_key=a\r\nX: b"},
  };
  for (const auto& line : lines) {
    fake_transport transport({});
    const run_result run = Run(transport, line);
    INFO(run.err);
    CHECK(run.code == exit_code::kUsage);
    CHECK_FALSE(run.err.empty());
    CHECK(transport.sent.empty());
  }
}

// Guards against environment variables that are ignored or override flags.
TEST_CASE("flags override environment variables") {
  const std::map<std::string, std::string> variables = {{"TEASELJUNCTION_SERVERS", "env:1"}};
  fake_transport from_variable({Answered(204)});
  CHECK(Run(from_variable, {"drain"}, variables).code == exit_code::kOk);
  REQUIRE(from_variable.sent.size() == 1);
  CHECK(from_variable.sent[0].address == "env:1");
  CHECK(from_variable.sent[0].request.path == "/teaseljunction/v1/drain");
  fake_transport from_flag({Answered(204)});
  CHECK(Run(from_flag, {"drain", "--servers", "flag:1"}, variables).code == exit_code::kOk);
  CHECK(from_flag.sent.at(0).address == "flag:1");
  fake_transport none({});
  const run_result bad = Run(none, {"status"}, {{"TEASELJUNCTION_TIMEOUT", "x"}});
  CHECK(bad.code == exit_code::kUsage);
  CHECK_THAT(bad.err, Catch::Contains("TEASELJUNCTION_TIMEOUT"));
}

// Guards against a command without help.
TEST_CASE("each command has help") {
  fake_transport transport({});
  for (const command_entry& command : AllCommands()) {
    std::vector<std::string> line;
    std::istringstream words(command.name);
    for (std::string word; words >> word;) line.push_back(word);
    line.push_back("--help");
    const run_result run = Run(transport, line);
    CHECK(run.code == exit_code::kOk);
    CHECK_THAT(run.out, Catch::Contains(command.help));
  }
  CHECK_THAT(Run(transport, {"--help"}).out, Catch::Contains("Exit codes"));
}

// Guards against a call that is sent twice, and against an exit code that hides an unknown outcome.
TEST_CASE("calls are sent once and report their outcome") {
  const std::vector<std::string> line = {"call",   "POST",      "/orders",    "--entry=a:1,b:1",
                                         "--body", "{\"a\":1}", "--key=tjk_1"};
  fake_transport lost({UnknownDelivery()});
  CHECK(Run(lost, line).code == exit_code::kOutcomeUnknown);
  CHECK(lost.sent.size() == 1);
  fake_transport second({NotSent(), Answered(200, "", "done")});
  const run_result run = Run(second, line);
  CHECK(run.code == exit_code::kOk);
  CHECK(run.out == "done\n");
  REQUIRE(second.sent.size() == 2);
  CHECK(second.sent[1].request.body == "{\"a\":1}");
  CHECK(FindHeader(second.sent[1].request.headers, "authorization") == "Bearer tjk_1");
  fake_transport unknown({Answered(502, "may-have-run")});
  CHECK(Run(unknown, line).code == exit_code::kOutcomeUnknown);
  fake_transport refused({Answered(429, "not-run")});
  CHECK(Run(refused, line).code == exit_code::kRefused);
  fake_transport unreachable({});
  CHECK(Run(unreachable, line).code == exit_code::kUnreachable);
}

// Guards against repeated keys and against output in another format.
TEST_CASE("generated keys differ") {
  fake_transport transport({});
  const std::string first = Run(transport, {"key", "new", "--json"}).out;
  CHECK_THAT(first,
             Catch::Matches(R"(\{"key":"tjk_[0-9a-f]{64}","digest":"sha256:[0-9a-f]{64}"\}\n)"));
  CHECK(first != Run(transport, {"key", "new", "--json"}).out);
}

}  // namespace teaseljunction
