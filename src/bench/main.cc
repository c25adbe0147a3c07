#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_format.h"
#include "bench/replay.h"
#include "bench/trace.h"
#include "common/log.h"

INITIALIZE_EASYLOGGINGPP

ABSL_FLAG(bool, json, false, "print one JSON document instead of a table");
ABSL_FLAG(std::string, policy, "", "replay with this policy only");

namespace teaseljunction {
namespace {

constexpr int kUsageExitCode = 2;

nlohmann::json ReportJson(const replay_report& report) {
  nlohmann::json success;
  for (int i = 0; i < kPriorityCount; ++i) {
    if (report.success[i] < 0) continue;
    success[std::string(PriorityName(static_cast<request_priority>(i)))] = report.success[i];
  }
  return {{"trace", report.trace},
          {"policy", report.policy},
          {"requests", report.requests},
          {"goodputPerSecond", report.goodput},
          {"goodputShare", report.goodput_share},
          {"recoverySeconds", report.recovery_seconds},
          {"worstAccountShare", report.worst_account_share},
          {"wrongfulRefusals", report.wrongful_refusals},
          {"success", success},
          {"maxAttempts", report.max_attempts}};
}

void PrintRow(const replay_report& report) {
  std::cout << absl::StrFormat("%-22s %-15s %9.0f %8.3f %9.2f %8.3f %9.5f %9.4f %9.4f %5d\n",
                               report.trace, report.policy, report.goodput, report.goodput_share,
                               report.recovery_seconds, report.worst_account_share,
                               report.wrongful_refusals, report.success[0], report.success[2],
                               report.max_attempts)
            << std::flush;
}

int RunReplay(const std::vector<char*>& paths) {
  const bool as_json = absl::GetFlag(FLAGS_json);
  const std::string only = absl::GetFlag(FLAGS_policy);
  nlohmann::json reports = nlohmann::json::array();
  if (!as_json) {
    std::cout << absl::StrFormat("%-22s %-15s %9s %8s %9s %8s %9s %9s %9s %5s\n", "trace", "policy",
                                 "goodput/s", "share", "recovery", "worst", "wrongful", "critical",
                                 "normal", "max");
  }
  for (const char* path : paths) {
    auto read = Capture<trace>([&] { return ReadTrace(path); });
    if (const auto* failure = std::get_if<error>(&read)) {
      std::cerr << "teaseljunction-bench: " << failure->detail << "\n";
      return kUsageExitCode;
    }
    for (const replay_policy& policy : ReplayPolicies()) {
      if (!only.empty() && only != policy.name) continue;
      const replay_report report = Replay(std::get<trace>(read), policy);
      if (as_json) {
        reports.push_back(ReportJson(report));
      } else {
        PrintRow(report);
      }
    }
  }
  if (as_json) std::cout << reports.dump(1) << "\n";
  return 0;
}

int WriteTraces(const std::string& folder) {
  for (const trace& generated : StandardTraces()) {
    std::ofstream file(folder + "/" + generated.name + ".json");
    file << WriteTrace(generated);
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
      "  teaseljunction-bench traces FOLDER");
  std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  const std::string command = arguments.size() > 1 ? arguments[1] : "";
  const std::vector<char*> rest(arguments.begin() + std::min<size_t>(2, arguments.size()),
                                arguments.end());
  if (command == "replay" && !rest.empty()) return teaseljunction::RunReplay(rest);
  if (command == "traces" && rest.size() == 1) return teaseljunction::WriteTraces(rest[0]);
  std::cerr << absl::ProgramUsageMessage() << "\n";
  return teaseljunction::kUsageExitCode;
}
