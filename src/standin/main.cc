#include <csignal>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/types/optional.h"
#include "common/clock_source.h"
#include "common/log.h"
#include "common/random_source.h"
#include "standin/service_runner.h"
#include "standin/standin_endpoints.h"
#include "standin/standin_flags.h"
#include "standin/standin_http_server.h"
#include "standin/target_announcer.h"

INITIALIZE_EASYLOGGINGPP

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:port to listen on; port 0 chooses a free one");
ABSL_FLAG(std::string, service, "", "Name of the service");
ABSL_FLAG(uint32_t, slots, 16, "Requests that run at once; more wait in a queue");
ABSL_FLAG(absl::Duration, service_time, absl::Milliseconds(20), "Time to serve one request");
ABSL_FLAG(absl::Duration, slow_start, absl::ZeroDuration(),
          "Time after the start in which the service time falls from 4 times its value");
ABSL_FLAG(double, fail_ratio, 0, "Share of the requests that end with status 500, 0 to 1");
ABSL_FLAG(std::string, crash_on, "", "Body text that makes the process abort");
ABSL_FLAG(bool, shed, false, "Answer 503 with Teaseljunction-Shed above the slots, do not queue");
ABSL_FLAG(std::string, daemon, "", "IP:port of the HTTP entry point of the daemon beside it");
ABSL_FLAG(std::string, chain, "", "Child calls per request: \"METHOD /path\", comma separated");
ABSL_FLAG(absl::optional<double>, load_lie, absl::nullopt, "Load to announce, 0 to 1");
ABSL_FLAG(std::string, log_level, "info", "Lowest level to log: debug, info, warning, error");

namespace teaseljunction {
namespace {

constexpr int kExitUsage = 2;
// Once the daemon has been told about the drain, a target that is idle for this time is expected to
// receive no more requests.
constexpr absl::Duration kDrainIdleTime = absl::Seconds(1);
constexpr absl::Duration kDrainTimeout = absl::Seconds(30);
constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(20);
constexpr absl::Duration kReplyTimeout = absl::Seconds(5);

result<standin_settings> SettingsFromFlags() {
  standin_settings settings;
  settings.service = absl::GetFlag(FLAGS_service);
  settings.slots = absl::GetFlag(FLAGS_slots);
  settings.service_time = absl::GetFlag(FLAGS_service_time);
  settings.slow_start = absl::GetFlag(FLAGS_slow_start);
  settings.fail_ratio = absl::GetFlag(FLAGS_fail_ratio);
  settings.crash_on = absl::GetFlag(FLAGS_crash_on);
  settings.shed = absl::GetFlag(FLAGS_shed);
  settings.daemon_address = absl::GetFlag(FLAGS_daemon);
  settings.load_override = absl::GetFlag(FLAGS_load_lie);
  BOOST_LEAF_ASSIGN(settings.chain, ParseChain(absl::GetFlag(FLAGS_chain)));
  BOOST_LEAF_CHECK(CheckSettings(settings));
  return settings;
}

void WaitForSignal(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
  LOG(INFO) << "standin: received signal " << received << ", draining";
}

// Waits until the target has been idle for the required time, at most for kDrainTimeout.
void Drain(service_runner& runner, bool announced) {
  const absl::Duration required_idle_time = announced ? kDrainIdleTime : absl::ZeroDuration();
  absl::Duration idle_time;
  for (absl::Duration waited; waited < kDrainTimeout; waited += kDrainPollInterval) {
    idle_time =
        runner.UnansweredRequests() == 0 ? idle_time + kDrainPollInterval : absl::ZeroDuration();
    if (idle_time > required_idle_time) return;
    absl::SleepFor(kDrainPollInterval);
  }
  LOG(WARNING) << "standin: requests still running after drain timeout of "
               << absl::FormatDuration(kDrainTimeout);
}

int Serve(const standin_settings& settings, const sigset_t& signals) {
  const system_clock_source clock;
  system_random_source random;
  // A later start gives a higher value. Cap'n Proto writes up to 15 digits as a plain number.
  const auto incarnation = static_cast<uint64_t>(absl::ToUnixMillis(absl::Now()));
  service_runner runner(settings, clock, random);
  standin_http_server server(runner, [&](const standin_request& request) {
    return AnswerStandinEndpoint(request, settings.service, incarnation, runner);
  });
  const auto address =
      Capture<std::string>([&] { return server.Listen(absl::GetFlag(FLAGS_listen)); });
  if (address.index() == 1) {
    std::cerr << "--listen: " << std::get<1>(address).detail << "\n";
    return kExitUsage;
  }
  std::cout << "listening on " << std::get<0>(address) << std::endl;

  absl::optional<target_announcer> announcer;
  if (!settings.daemon_address.empty()) {
    announcer.emplace(settings.daemon_address, [&] {
      return standin_announcement{settings.service, incarnation,         settings.slots, false,
                                  runner.Load(),    std::get<0>(address)};
    });
  }
  WaitForSignal(signals);
  if (announcer.has_value()) announcer->StartDraining();
  Drain(runner, announcer.has_value());
  runner.AbortAll();
  server.WaitUntilIdle(kReplyTimeout);
  LOG(INFO) << "standin: stopped";
  return 0;
}

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Stand-in target. Usage: teaseljunction-standin --service=NAME");
  absl::ParseCommandLine(argc, argv);
  if (!ConfigureLog({"", absl::GetFlag(FLAGS_log_level)})) {
    std::cerr << "--log_level must be debug, info, warning or error\n";
    return kExitUsage;
  }
  const auto settings = Capture<standin_settings>([] { return SettingsFromFlags(); });
  if (settings.index() == 1) {
    std::cerr << std::get<1>(settings).detail << "\n";
    return kExitUsage;
  }
  // Block the signals in all threads, so that sigwait receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Serve(std::get<0>(settings), signals);
}

}  // namespace
}  // namespace teaseljunction

int main(int argc, char** argv) { return teaseljunction::Main(argc, argv); }
