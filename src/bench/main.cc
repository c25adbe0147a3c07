#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "bench/decision.h"
#include "bench/overhead.h"
#include "bench/replay.h"
#include "bench/soak.h"
#include "bench/trace.h"
#include "common/log.h"

INITIALIZE_EASYLOGGINGPP

ABSL_FLAG(bool, json, false, "print one JSON document instead of a table");
ABSL_FLAG(std::string, policy, "", "replay: name of the only policy to use");
ABSL_FLAG(std::string, direct, "", "overhead: IP:port of the stand-in target");
ABSL_FLAG(std::string, local, "", "overhead: IP:port of the entry of the daemon beside the target");
ABSL_FLAG(std::string, remote, "", "overhead: IP:port of the entry of another daemon");
ABSL_FLAG(std::string, path, "/", "overhead: path of the calls");
ABSL_FLAG(std::string, key, "", "overhead, soak: API key of the calls");
ABSL_FLAG(std::vector<std::string>, rates, std::vector<std::string>({"250", "1000"}),
          "overhead: calls per second");
ABSL_FLAG(std::vector<std::string>, pids, {},
          "overhead: IDs of processes whose CPU and memory use is reported");
ABSL_FLAG(int, rounds, 10, "overhead: one-second rounds for each call path and rate");
ABSL_FLAG(std::vector<std::string>, entries, {}, "soak: IP:port of the entries of all daemons");
ABSL_FLAG(std::vector<std::string>, targets, {}, "soak: IP:port of all stand-in targets");
ABSL_FLAG(uint64_t, seed, 1, "soak: seed of the sequence of requests");
ABSL_FLAG(int, seconds, 30, "soak: duration of the run");
ABSL_FLAG(bool, deadlock_detection, false,
          "decision: keep Abseil's deadlock detection at the default of the installed library");

namespace teaseljunction {
namespace {

constexpr int kUsageExitCode = 2;

nlohmann::json ReplayJson(const replay_report& report) {
  nlohmann::json success;
  for (int i = 0; i < kPriorityCount; ++i) {
    if (report.success[i] < 0) continue;
    success[absl::StrCat(PriorityName(static_cast<request_priority>(i)))] = report.success[i];
  }
  nlohmann::json failures;
  for (const auto& [key, count] : report.failures) {
    failures[std::string(AnswerFor(key.first).name)][std::string(PriorityName(key.second))] = count;
  }
  return {{"trace", report.trace},
          {"policy", report.policy},
          {"requests", report.requests},
          {"goodputPerSecond", report.goodput_per_second},
          {"goodputShare", report.goodput_share},
          {"recoverySeconds", report.recovery_seconds},
          {"worstAccountShare", report.worst_account_share},
          {"wrongfulRefusals", report.wrongful_refusals},
          {"success", success},
          {"failures", failures},
          {"maxAttempts", report.max_attempts}};
}

void PrintReplayRow(const replay_report& report) {
  std::cout << absl::StrFormat("%-22s %-15s %9.0f %8.3f %9.2f %8.3f %9.5f %9.4f %9.4f %5d\n",
                               report.trace, report.policy, report.goodput_per_second,
                               report.goodput_share, report.recovery_seconds,
                               report.worst_account_share, report.wrongful_refusals,
                               report.success[0], report.success[2], report.max_attempts)
            << std::flush;
}

int RunReplay(const std::vector<char*>& paths) {
  const bool as_json = absl::GetFlag(FLAGS_json);
  const std::string selected_policy = absl::GetFlag(FLAGS_policy);
  nlohmann::json reports = nlohmann::json::array();
  if (!as_json) {
    std::cout << absl::StrFormat("%-22s %-15s %9s %8s %9s %8s %9s %9s %9s %5s\n", "trace", "policy",
                                 "goodput/s", "share", "recovery", "worst", "wrongful", "critical",
                                 "normal", "max");
  }
  for (const char* path : paths) {
    auto loaded = Capture<trace>([&] { return ReadTrace(path); });
    if (const auto* failure = std::get_if<error>(&loaded)) {
      std::cerr << "teaseljunction-bench: " << failure->detail << "\n";
      return kUsageExitCode;
    }
    for (const replay_policy& policy : ReplayPolicies()) {
      if (!selected_policy.empty() && selected_policy != policy.name) continue;
      const replay_report report = Replay(std::get<trace>(loaded), policy);
      if (as_json) {
        reports.push_back(ReplayJson(report));
      } else {
        PrintReplayRow(report);
      }
    }
  }
  if (as_json) std::cout << reports.dump(1) << "\n";
  return 0;
}

std::vector<int> ParsePositiveNumbers(const std::vector<std::string>& texts) {
  std::vector<int> parsed;
  for (const std::string& text : texts) {
    int number = 0;
    if (absl::SimpleAtoi(text, &number) && number > 0) parsed.push_back(number);
  }
  return parsed;
}

nlohmann::json OverheadJson(const overhead_report& report) {
  nlohmann::json rows = nlohmann::json::array();
  for (const overhead_row& row : report.rows) {
    rows.push_back({{"rate", row.rate},
                    {"way", row.call_path},
                    {"calls", row.calls},
                    {"failures", row.failures},
                    {"p50Ms", row.p50},
                    {"p99Ms", row.p99},
                    {"p999Ms", row.p999},
                    {"addedP99Ms", row.added_p99}});
  }
  nlohmann::json processes = nlohmann::json::array();
  for (const process_usage& process : report.processes) {
    processes.push_back({{"pid", process.pid},
                         {"cores", process.cores},
                         {"residentMegabytes", process.resident_megabytes}});
  }
  return {{"rows", rows}, {"processes", processes}};
}

void PrintOverhead(const overhead_report& report) {
  std::cout << absl::StrFormat("%6s %-12s %8s %8s %8s %8s %8s %10s\n", "rate", "way", "calls",
                               "failures", "p50 ms", "p99 ms", "p999 ms", "added p99");
  for (const overhead_row& row : report.rows) {
    std::cout << absl::StrFormat("%6d %-12s %8d %8d %8.3f %8.3f %8.3f %10.3f\n", row.rate,
                                 row.call_path, row.calls, row.failures, row.p50, row.p99, row.p999,
                                 row.added_p99);
  }
  for (const process_usage& process : report.processes) {
    std::cout << absl::StrFormat("process %d: %.4f cores, %.1f MB\n", process.pid, process.cores,
                                 process.resident_megabytes);
  }
}

int RunOverhead() {
  overhead_settings settings;
  settings.direct = absl::GetFlag(FLAGS_direct);
  settings.local = absl::GetFlag(FLAGS_local);
  settings.remote = absl::GetFlag(FLAGS_remote);
  settings.path = absl::GetFlag(FLAGS_path);
  settings.key = absl::GetFlag(FLAGS_key);
  settings.rates = ParsePositiveNumbers(absl::GetFlag(FLAGS_rates));
  settings.rounds = absl::GetFlag(FLAGS_rounds);
  settings.pids = ParsePositiveNumbers(absl::GetFlag(FLAGS_pids));
  auto measured = Capture<overhead_report>([&] { return MeasureOverhead(settings); });
  if (const auto* failure = std::get_if<error>(&measured)) {
    std::cerr << "teaseljunction-bench: " << failure->detail << "\n";
    return kUsageExitCode;
  }
  const auto& report = std::get<overhead_report>(measured);
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << OverheadJson(report).dump(1) << "\n";
  } else {
    PrintOverhead(report);
  }
  return 0;
}

nlohmann::json DecisionJson(const decision_report& report) {
  nlohmann::json rows = nlohmann::json::array();
  for (const decision_row& row : report.rows) {
    rows.push_back({{"operation", row.operation},
                    {"threads", row.threads},
                    {"shared", row.shared},
                    {"nanoseconds", row.nanoseconds},
                    {"cpuNanoseconds", row.cpu_nanoseconds},
                    {"perSecond", row.per_second}});
  }
  return {{"rows", rows}, {"claims", report.claims}, {"bytesPerClaim", report.bytes_per_claim}};
}

int RunDecision() {
  const decision_report report = MeasureDecisions(absl::GetFlag(FLAGS_deadlock_detection));
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << DecisionJson(report).dump(1) << "\n";
    return 0;
  }
  std::cout << absl::StrFormat("%-14s %-9s %8s %12s %12s %14s\n", "operation", "instances",
                               "threads", "ns each", "cpu ns", "per second");
  for (const decision_row& row : report.rows) {
    std::cout << absl::StrFormat("%-14s %-9s %8d %12.0f %12.0f %14.0f\n", row.operation,
                                 row.shared ? "one" : "own", row.threads, row.nanoseconds,
                                 row.cpu_nanoseconds, row.per_second);
  }
  std::cout << absl::StrFormat("claims: %d, %.0f bytes each\n", report.claims,
                               report.bytes_per_claim);
  return 0;
}

int RunSoakTest() {
  soak_settings settings;
  settings.entries = absl::GetFlag(FLAGS_entries);
  settings.targets = absl::GetFlag(FLAGS_targets);
  settings.key = absl::GetFlag(FLAGS_key);
  settings.duration = absl::Seconds(absl::GetFlag(FLAGS_seconds));
  settings.seed = absl::GetFlag(FLAGS_seed);
  auto finished = Capture<soak_report>([&] { return RunSoak(settings); });
  if (const auto* failure = std::get_if<error>(&finished)) {
    std::cerr << "teaseljunction-bench: " << failure->detail << "\n";
    return kUsageExitCode;
  }
  const auto& report = std::get<soak_report>(finished);
  for (const std::string& detail : report.details) std::cerr << detail << "\n";
  nlohmann::json checks;
  uint64_t violations = 0;
  for (const soak_check& check : report.checks) {
    checks.push_back({{"property", check.property}, {"violations", check.violations}});
    violations += check.violations;
  }
  const nlohmann::json document = {{"requests", report.requests}, {"answered", report.answered},
                                   {"refused", report.refused},   {"timedOut", report.timed_out},
                                   {"unread", report.unread},     {"checks", checks}};
  std::cout << document.dump(1) << "\n";
  return violations == 0 ? 0 : 1;
}

int WriteTraces(const std::string& folder) {
  for (const trace& generated : StandardTraces()) {
    std::ofstream file(folder + "/" + generated.name + ".json");
    file << FormatTrace(generated);
    if (!file) {
      std::cerr << "teaseljunction-bench: cannot write to " << folder << "\n";
      return kUsageExitCode;
    }
  }
  return 0;
}

}  // namespace
}  // namespace teaseljunction

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Measurements.\n"
      "  teaseljunction-bench replay [--json] [--policy=NAME] TRACE...\n"
      "  teaseljunction-bench traces FOLDER\n"
      "  teaseljunction-bench overhead --direct=A --local=B --remote=C [--key=K] [--json]\n"
      "  teaseljunction-bench decision [--json] [--deadlock_detection]\n"
      "  teaseljunction-bench soak --entries=A,B --targets=C,D --key=K [--seed=N] [--seconds=S]");
  std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  const std::string command = arguments.size() > 1 ? arguments[1] : "";
  const std::vector<char*> operands(arguments.begin() + std::min<size_t>(2, arguments.size()),
                                    arguments.end());
  if (command == "replay" && !operands.empty()) return teaseljunction::RunReplay(operands);
  if (command == "overhead" && operands.empty()) return teaseljunction::RunOverhead();
  if (command == "decision" && operands.empty()) return teaseljunction::RunDecision();
  if (command == "soak" && operands.empty()) return teaseljunction::RunSoakTest();
  if (command == "traces" && operands.size() == 1) return teaseljunction::WriteTraces(operands[0]);
  std::cerr << absl::ProgramUsageMessage() << "\n";
  return teaseljunction::kUsageExitCode;
}
