// A control machine is added; when it has run for longer than catch_up_s, an old one is removed
// without SIGTERM. Two other machines lose their disks 0.8 s later, right after the ack of a
// change. The acknowledged configuration is gone for good.
#include "../rig-2/rig.h"

namespace {

using namespace rig;

constexpr double kSuccessorRuns = 7.0;  // catch_up_s is 4
constexpr double kLossAfterRemoval = 0.8;
constexpr double kDownTime = 1.0;
constexpr double kReadTime = 25.0;  // recovery_s is 15
const std::string kHost = "shop.example";
const std::string kKey = "6wsjnbanfqasnmgkcuyj";

class scenario {
 public:
  scenario(fleet& all, bool trouble) : all_(all), trouble_(trouble) {
    for (const char* zone : {"lm-a", "lm-a", "ok-a", "ok-a", "vi-a"}) all_.AddCore(zone);
    sidecar_ = &all_.AddSidecar("lm-a", "orders");
  }

  int Run() {
    target orders(all_, *sidecar_, "i-orders", 230,
                  [](const message&, int) { return std::string("ordered"); });
    orders.Start();
    if (!StartFleet(all_, MakeConfig(7))) return kNotRun;
    Sleep(2);
    machine& successor = all_.AddCore("vi-a");
    all_.Start(successor, false);
    RECORD("%s is added", successor.name.c_str());
    Sleep(kSuccessorRuns);
    const double removed_at = Now();
    if (trouble_) {
      machine& removed = all_.At(4);
      all_.Kill(removed);
      RECORD("%s is removed for good", removed.name.c_str());
    }
    Sleep(kLossAfterRemoval - 0.2);
    const int status = all_.PutConfig(MakeConfig(9), 7, 10);
    RECORD("change to version 9: %d", status);
    if (status != 200) return kNotRun;
    Sleep(removed_at + kLossAfterRemoval - Now());
    LoseDisks();
    const int result = ReadBack();
    all_.StopAll();
    return result;
  }

 private:
  static std::string MakeConfig(uint64_t version) {
    return Config(version, {"orders"},
                  {{"place-order", "/order/", "non_idempotent", "orders", 5000}}, kHost, kKey);
  }

  void LoseDisks() {
    for (const size_t i : {size_t{1}, size_t{3}}) {
      all_.Signal(all_.At(i), SIGKILL);
      RECORD("%s loses power and its disk", all_.At(i).name.c_str());
    }
    for (const size_t i : {size_t{1}, size_t{3}}) {
      all_.WaitEnd(all_.At(i), 5);
      EmptyFolder(all_.At(i).data_dir);
    }
    Sleep(kDownTime);
    for (const size_t i : {size_t{1}, size_t{3}}) all_.Start(all_.At(i), false);
    RECORD("both are back with empty disks");
  }

  static void EmptyFolder(const std::string& folder) {
    const std::string command = "rm -rf '" + folder + "' && mkdir '" + folder + "'";
    if (std::system(command.c_str()) != 0) RECORD("folder not emptied");
  }

  int ReadBack() {
    const double start = Now();
    int reads = 0;
    while (Now() < start + kReadTime) {
      for (auto& each : all_.Machines()) {
        if (!each->core || each->pid <= 0) continue;
        const message answer = all_.GetConfig(each->At(all_.Control()));
        ++reads;
        DETAIL("read at %s: %d", each->name.c_str(), answer.status);
        if (answer.status != 200) continue;
        const bool newest = answer.body == MakeConfig(9);
        RECORD("read at %s after %.1f s: 200, %s", each->name.c_str(), Now() - start,
               newest ? "version 9" : "another version");
        return newest ? kHeld : kBroken;
      }
      Sleep(0.25);
    }
    RECORD("%d reads in %.0f s, none had an answer; a change now: %d", reads, kReadTime,
           all_.PutConfig(MakeConfig(11), 9, 5));
    return kBroken;
  }

  fleet& all_;
  const bool trouble_;
  machine* sidecar_ = nullptr;
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
