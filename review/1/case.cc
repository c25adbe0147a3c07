// A planned replacement of a control machine, then the loss of two disks.

#include <signal.h>

#include "../standin/harness.h"

using namespace review;

namespace {

constexpr int64_t kCatchUpMs = 4000;
constexpr int64_t kGraceMs = 6000;
constexpr int64_t kAfterRemovalMs = 2000;
constexpr int64_t kRecoveryMs = 15000;
// Beyond the bound, to show whether the configuration ever comes back.
constexpr int64_t kLongerMs = 25000;

// Returns the version that a read of the configuration gives at any running machine, 0 if none.
uint64_t ReadVersion(deployment& system) {
  for (const machine* at : system.Running(true)) {
    const response read = GetConfig(system, *at);
    if (read.status == 200) return std::stoull(read.body.substr(read.body.find(':') + 1));
  }
  return 0;
}

}  // namespace

int main(int, char** arguments) {
  BeginCase(arguments[1]);
  deployment system({.cores = 5, .sidecars = {}, .tolerated = 2, .spare_cores = 1});
  for (int i = 1; i <= 5; ++i) system.Start(system.Named("core-" + std::to_string(i)));
  const std::vector<std::string> services = {"huvo11a"};
  const std::vector<route_spec> routes = {{"r-1", "/leny950/", "huvo11a"}};
  if (PutConfig(system, 0, ConfigText(1, services, routes, kKey), 10000) != 200) {
    EndCase(kNotRun, "the first configuration was not acknowledged");
  }
  Record("operator: version 1 acknowledged");
  SleepMs(8000);

  // The new machine first, then SIGTERM for the old one.
  machine& successor = system.Named("core-6");
  machine& replaced = system.Named("core-5");
  system.Start(successor);
  SleepMs(kCatchUpMs);
  replaced.wanted = false;
  system.Signal(replaced, SIGTERM);
  Record("platform: SIGTERM to %s", replaced.name.c_str());
  const int64_t stop_begin = Now();
  while (!system.HasEnded(replaced) && Now() - stop_begin < kGraceMs) SleepMs(20);
  system.Kill(replaced);
  Record("platform: %s has ended and is removed for good", replaced.name.c_str());
  SleepMs(kAfterRemovalMs);
  Record("platform: the successor has run for %lld ms",
         static_cast<long long>(Now() - successor.started_at));

  std::string acknowledged_by;
  const int status =
      PutConfig(system, 1, ConfigText(2, services, routes, kKey), 10000, &acknowledged_by);
  if (status != 200) EndCase(kNotRun, "version 2 was not acknowledged");
  Record("operator: version 2 acknowledged by %s", acknowledged_by.c_str());

  if (HasTrouble()) {
    std::vector<machine*> lost;
    for (int i = 1; i <= 4; ++i) {
      machine& candidate = system.Named("core-" + std::to_string(i));
      if (candidate.ip == acknowledged_by)
        lost.insert(lost.begin(), &candidate);
      else
        lost.push_back(&candidate);
    }
    lost.resize(2);
    for (machine* struck : lost) {
      system.Kill(*struck);
      system.LoseDisk(*struck);
      Record("platform: %s loses power and its disk", struck->name.c_str());
    }
    SleepMs(1000);
    for (machine* struck : lost) {
      struck->bootstrap = false;
      system.Start(*struck);
    }
  }
  const int64_t back_at = Now();
  uint64_t version = 0;
  int64_t readable_at = -1;
  while (Now() - back_at < kLongerMs) {
    version = ReadVersion(system);
    if (version == 2) {
      readable_at = Now() - back_at;
      break;
    }
    SleepMs(500);
  }
  if (readable_at >= 0) {
    Record("operator: version 2 read back %lld ms after all machines were back",
           static_cast<long long>(readable_at));
  }
  if (readable_at >= 0 && readable_at <= kRecoveryMs) EndCase(kHeld, "the configuration is there");
  EndCase(kBroken, readable_at < 0 ? "no machine gives the acknowledged configuration any more"
                                   : "the configuration came back too late");
}
