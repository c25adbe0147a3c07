// A target leaves (it sends DELETE, which its daemon acknowledges, and goes on serving for some
// seconds). The daemon is killed and started again, and an earlier status report of that target
// arrives late. The new process takes the target as ready and sends it new orders.
#include "../rig-2/rig.h"

namespace {

using namespace rig;

constexpr double kReportDelay = 4.5;  // "A status report may arrive seconds late."
constexpr double kLeaveAfter = 0.3;
constexpr double kKillAfter = 0.3;
constexpr double kRestartDelay = 0.3;
constexpr double kServesOn = 7;  // "a little longer (at times many seconds)"
constexpr double kSettleWindow = 3.0;
constexpr double kDrainTime = 2.0;  // drain_ms
constexpr int kOrderClients = 8;
const std::string kHost = "shop.example";
const std::string kKey = "6wsjnbanfqasnmgkcuyj";

class scenario {
 public:
  scenario(fleet& all, bool trouble) : all_(all), trouble_(trouble) {
    for (const char* zone : {"lm-a", "lm-a", "ok-a", "ok-a", "vi-a"}) all_.AddCore(zone);
    leaving_ = &all_.AddSidecar("lm-a", "orders");
    staying_ = &all_.AddSidecar("ok-a", "orders");
    entry_ = &all_.AddSidecar("lm-a", "inventory");
  }

  int Run() {
    const auto order = [](const message&, int) {
      Sleep(0.16);
      return std::string("ordered");
    };
    target leaving(all_, *leaving_, "i-leaving", 230, order);
    target staying(all_, *staying_, "i-staying", 230, order);
    target stock(all_, *entry_, "i-stock", 184, order);
    for (target* each : {&leaving, &staying, &stock}) each->Start();
    const std::string config =
        Config(7, {"orders", "inventory"},
               {{"place-order", "/order/", "non_idempotent", "orders", 5000}}, kHost, kKey);
    if (!StartFleet(all_, config)) return kNotRun;
    RECORD("all sidecars are ready");
    std::vector<std::thread> clients;
    for (int i = 0; i < kOrderClients; ++i) clients.emplace_back([this, i] { SendOrders(i); });
    Sleep(2);
    // The last report is on its way while the target leaves.
    leaving.reports = false;
    const std::string report = leaving.Report("ready", leaving.NextSequence());
    std::thread relay([&] {
      Sleep(trouble_ ? kReportDelay : 0);
      RECORD("the last status report arrives: %d", leaving.SendReport(report).status);
    });
    Sleep(kLeaveAfter);
    leaving.draining = true;  // its status check answers 503 from now on
    const int status = leaving.SendLeave().status;
    const double acknowledged = Now();
    RECORD("DELETE acknowledged: %d", status);
    Sleep(kKillAfter);
    if (trouble_) {
      all_.Kill(*leaving_);
      RECORD("the daemon beside the leaving target is killed");
      Sleep(kRestartDelay);
      all_.Start(*leaving_, false);
    }
    const double started = Now();
    Sleep(kServesOn);
    leaving.Stop();
    RECORD("the target has ended");
    Sleep(2);
    stop_ = true;
    for (std::thread& client : clients) client.join();
    relay.join();
    const int result = Judge(leaving, acknowledged, started);
    all_.StopAll();
    return status == 200 ? result : kNotRun;
  }

 private:
  void SendOrders(int client) {
    for (int n = 0; !stop_; ++n) {
      const std::string id = "order-" + std::to_string(client) + "-" + std::to_string(n);
      const message answer =
          Call(entry_->At(all_.Outbound()),
               Request("POST", kHost, "/order/" + id, id, 5000, kKey, "one roll"), 6);
      DETAIL("%s: %d", id.c_str(), answer.status);
      answer.status == 200 ? ++answered_ : ++lost_;
      Sleep(0.05);
    }
  }

  int Judge(target& leaving, double acknowledged, double started) {
    int late = 0;
    int counted = 0;
    for (const target::run& run : leaving.Runs()) {
      if (run.at <= acknowledged + kDrainTime) continue;
      ++late;
      // The machine that sent it on was started by the platform, and has to be in touch again.
      if (!trouble_ || run.at > started + kSettleWindow) ++counted;
    }
    RECORD("orders: %d answered with 200, %d not", answered_.load(), lost_.load());
    RECORD(
        "requests at the target later than %.0f s after the ack: %d; while its machine was in "
        "touch: %d, allowed 0",
        kDrainTime, late, counted);
    return counted > 0 ? kBroken : kHeld;
  }

  fleet& all_;
  const bool trouble_;
  machine* leaving_ = nullptr;
  machine* staying_ = nullptr;
  machine* entry_ = nullptr;
  std::atomic<bool> stop_{false};
  std::atomic<int> answered_{0};
  std::atomic<int> lost_{0};
};

}  // namespace

int main(int, char** argv) {
  record::Get().Open(argv[1]);
  const std::string folder = TemporaryFolder();
  int result = kNotRun;
  {
    fleet all(folder);
    scenario played(all, TroubleWanted());
    result = played.Run();
  }
  RECORD("exit %d", result);
  RemoveFolder(folder);
  return result;
}
