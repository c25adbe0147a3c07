#include <csignal>
#include <cstdlib>
#include <iostream>

#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"
#include "absl/strings/match.h"
#include "absl/synchronization/mutex.h"
#include "common/log.h"
#include "common/signal_watcher.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"

INITIALIZE_EASYLOGGINGPP

namespace teaseljunction {
namespace {

constexpr int kUsageExitCode = 2;
constexpr int kStopSignals[] = {SIGTERM, SIGINT};

bool RunUntilStopped(daemon_process& process) {
  const signal_watcher watcher(kStopSignals, [&process](int) { process.RequestStop(); });
  process.Start();
  return process.Run();
}

int Serve(daemon_settings settings) {
  auto built = Capture<std::unique_ptr<daemon_process>>(
      [&] { return daemon_builder().WithSettings(std::move(settings)).Build(); });
  if (const auto* failure = std::get_if<error>(&built)) {
    std::cerr << "teaseljunctiond: " << AnswerFor(failure->kind).title << " " << failure->detail
              << "\n";
    return EXIT_FAILURE;
  }
  auto process = std::get<std::unique_ptr<daemon_process>>(std::move(built));
  const bool finished = RunUntilStopped(*process);
  process.reset();
  LOG(INFO) << "daemon: stopped.";
  FlushLog();
  return finished ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace teaseljunction

int main(int argc, char** argv) {
  // Debian builds Abseil with deadlock detection, which makes nested locks about 15 times slower.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  using namespace teaseljunction;  // NOLINT(google-build-using-namespace)
  // Before any thread is started.
  BlockSignals(kStopSignals);
  // Writes to closed connections return an error.
  std::signal(SIGPIPE, SIG_IGN);
  absl::SetProgramUsageMessage(
      "The daemon of teaseljunction. One runs beside each target; with --control it is also a "
      "member of the control group. Each flag can also be set by an environment variable, for "
      "example TEASELJUNCTION_DATA_CENTRE.");
  // By default --help shows only flags that are defined in this file; these are in settings.cc.
  absl::FlagsUsageConfig usage;
  usage.contains_help_flags = [](absl::string_view file) {
    return absl::StrContains(file, "daemon/internal/settings");
  };
  absl::SetFlagsUsageConfig(usage);
  auto settings = Capture<daemon_settings>([&] { return ReadSettings(argc, argv); });
  if (const auto* failure = std::get_if<error>(&settings)) {
    std::cerr << "teaseljunctiond: " << failure->detail << "\n";
    return kUsageExitCode;
  }
  const auto& checked = std::get<daemon_settings>(settings);
  if (!ConfigureLog(checked.log)) {
    std::cerr << "teaseljunctiond: --log_level: must be debug, info, warning or error.\n";
    return kUsageExitCode;
  }
  return Serve(checked);
}
