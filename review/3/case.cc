// A busy upstream is drained while calls wait for it.

#include <atomic>

#include "../standin/harness.h"

using namespace review;

namespace {

constexpr int kSlots = 2;
constexpr int kCalls = 8;
constexpr int kCalmRounds = 3;
constexpr int kWorkMs = 760;
constexpr int64_t kDrainMs = 2000;
// The upstream serves on for the drain time and a little longer.
constexpr int64_t kLittleLongerMs = 700;

struct run {
  std::string id;
  int64_t started_at = 0;
};

}  // namespace

int main(int, char** arguments) {
  BeginCase(arguments[1]);
  deployment system(
      {.cores = 3, .sidecars = {"huvo11a", "wuno96b"}, .tolerated = 1, .spare_cores = 0});
  for (const auto& listed : system.machines) system.Start(*listed);
  const std::vector<std::string> services = {"huvo11a", "wuno96b"};
  // Calls that upstreams make carry no key, so their route is public.
  route_spec calls = {"r-call", "/puka111/", "wuno96b", "non_idempotent"};
  calls.is_public = true;
  calls.timeout_ms = 6000;
  if (PutConfig(system, 0, ConfigText(1, services, {calls}, kKey), 10000) != 200) {
    EndCase(kNotRun, "the configuration was not acknowledged");
  }
  machine& front = system.Named("sidecar-1");
  std::mutex runs_mutex;
  std::vector<run> runs;
  upstream own(system, front, 100, [](const upstream_request&) { return upstream_answer{}; });
  upstream busy(system, system.Named("sidecar-2"), kSlots, [&](const upstream_request& request) {
    {
      const std::lock_guard lock(runs_mutex);
      runs.push_back({request.id, Now()});
    }
    SleepMs(kWorkMs);
    return upstream_answer{200, "done " + request.id};
  });
  SleepMs(8000);

  std::atomic<int> answered{0};
  std::vector<std::thread> callers;
  const auto send_calls = [&](int first, int count) {
    for (int i = first; i < first + count; ++i) {
      callers.emplace_back([&, i] {
        const std::string id = "id" + std::to_string(i);
        const response answer =
            Exchange(front.ip, system.outbound_port,
                     RequestText("POST", "/puka111/book",
                                 {{"Host", kHost}, {"X-Request-Id", id}, {"X-Deadline-Ms", "6000"}},
                                 "1 slot"),
                     7000);
        Record("caller: call %s, status %d", id.c_str(), answer.status);
        if (answer.status != 0) ++answered;
      });
      SleepMs(5);
    }
  };
  // Calls in calm, by which the system learns how long they take.
  for (int i = 0; i < kCalmRounds; ++i) {
    send_calls(1 + i * kSlots, kSlots);
    SleepMs(kWorkMs + 200);
  }
  {
    const std::lock_guard lock(runs_mutex);
    runs.clear();
  }
  send_calls(1 + kCalmRounds * kSlots, kCalls);
  SleepMs(20);
  int64_t drained_at = -1;
  if (HasTrouble()) {
    drained_at = busy.Drain();
    if (drained_at < 0) EndCase(kNotRun, "the drain was not acknowledged");
    Record("upstream: reported draining, acknowledged");
    SleepMs(kDrainMs + kLittleLongerMs);
    busy.Exit();
    Record("upstream: has withdrawn and ended");
  }
  for (std::thread& caller : callers) caller.join();
  int late = 0;
  for (const run& started : runs) {
    Record("upstream: %s began %lld ms after the acknowledgement", started.id.c_str(),
           static_cast<long long>(drained_at < 0 ? 0 : started.started_at - drained_at));
    if (drained_at >= 0 && started.started_at - drained_at > kDrainMs) ++late;
  }
  if (late > 0) {
    EndCase(kBroken, std::to_string(late) + " calls reached the upstream after the drain time");
  }
  EndCase(kHeld, std::to_string(runs.size()) + " calls ran in time");
}
