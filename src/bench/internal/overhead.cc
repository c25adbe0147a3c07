#include "bench/overhead.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <memory>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/blocking_counter.h"
#include "absl/synchronization/mutex.h"
#include "common/clock_source.h"
#include "http/curl_client.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kCallTimeout = absl::Seconds(5);
constexpr int kOk = 200;
constexpr double kPageBytes = 4096;

struct way_samples {
  absl::Mutex mutex;
  std::vector<double> milliseconds ABSL_GUARDED_BY(mutex);
  uint64_t failures ABSL_GUARDED_BY(mutex) = 0;
};

class overhead_sender {
 public:
  explicit overhead_sender(const overhead_settings& settings)
      : settings_(settings), client_(curl_client_builder().Threads(2).Build()) {}

  // Sends at a fixed rate for one round and waits for all answers.
  void SendRound(const std::string& address, int rate, way_samples& samples) {
    const int calls = static_cast<int>(absl::ToDoubleSeconds(settings_.round) * rate);
    const absl::Duration gap = absl::Seconds(1) / rate;
    absl::BlockingCounter open(calls);
    const absl::Time begin = clock_.Now();
    for (int i = 0; i < calls; ++i) {
      const absl::Time due = begin + i * gap;
      const absl::Duration wait = due - clock_.Now();
      if (wait > absl::ZeroDuration()) absl::SleepFor(wait);
      SendOne(address, samples, open);
    }
    open.Wait();
  }

 private:
  void SendOne(const std::string& address, way_samples& samples, absl::BlockingCounter& open) {
    const absl::Time sent = clock_.Now();
    client_->Send(address, {"GET", settings_.path, {{"X-Api-Key", settings_.key}}, ""}, false,
                  kCallTimeout, [this, sent, &samples, &open](outcome<http_response> response) {
                    const double taken = absl::ToDoubleMilliseconds(clock_.Now() - sent);
                    const auto* answered = std::get_if<http_response>(&response);
                    {
                      absl::MutexLock lock(&samples.mutex);
                      if (answered != nullptr && answered->status == kOk) {
                        samples.milliseconds.push_back(taken);
                      } else {
                        ++samples.failures;
                      }
                    }
                    open.DecrementCount();
                  });
  }

  const overhead_settings& settings_;
  system_clock_source clock_;
  std::unique_ptr<curl_client> client_;
};

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

overhead_row RowOf(int rate, const std::string& way, way_samples& samples) {
  absl::MutexLock lock(&samples.mutex);
  std::sort(samples.milliseconds.begin(), samples.milliseconds.end());
  overhead_row row;
  row.rate = rate;
  row.way = way;
  row.calls = samples.milliseconds.size();
  row.failures = samples.failures;
  row.p50 = Percentile(samples.milliseconds, 0.5);
  row.p99 = Percentile(samples.milliseconds, 0.99);
  row.p999 = Percentile(samples.milliseconds, 0.999);
  return row;
}

// Processor seconds used by a process so far, from /proc (fields 14 and 15 of proc(5) stat).
double ProcessorSeconds(int pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/stat"));
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) return 0;
  const std::vector<std::string> fields = absl::StrSplit(text.substr(name_end + 2), ' ');
  const double ticks = std::stod(fields[11]) + std::stod(fields[12]);
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentMegabytes(int pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/statm"));
  double total_pages = 0;
  double resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * kPageBytes / 1e6;
}

}  // namespace

result<overhead_report> MeasureOverhead(const overhead_settings& settings) {
  const std::vector<std::pair<std::string, std::string>> ways = {{"direct", settings.direct},
                                                                 {"one daemon", settings.local},
                                                                 {"two daemons", settings.remote}};
  for (const auto& [way, address] : ways) {
    if (address.empty()) {
      return Fail(error_kind::kSettingInvalid, absl::StrCat("no address for ", way));
    }
  }
  system_clock_source clock;
  overhead_sender sender(settings);
  overhead_report report;
  std::map<int, double> processor_before;
  for (const int pid : settings.pids) processor_before[pid] = ProcessorSeconds(pid);
  const absl::Time begin = clock.Now();
  for (const int rate : settings.rates) {
    std::map<std::string, way_samples> samples;
    way_samples warm_up;
    for (const auto& [way, address] : ways) sender.SendRound(address, rate, warm_up);
    for (int round = 0; round < settings.rounds; ++round) {
      for (const auto& [way, address] : ways) sender.SendRound(address, rate, samples[way]);
    }
    const size_t first = report.rows.size();
    for (const auto& [way, address] : ways) {
      report.rows.push_back(RowOf(rate, way, samples[way]));
      report.rows.back().added_p99 = report.rows.back().p99 - report.rows[first].p99;
    }
  }
  const double elapsed = absl::ToDoubleSeconds(clock.Now() - begin);
  for (const int pid : settings.pids) {
    report.processes.push_back(
        {pid, (ProcessorSeconds(pid) - processor_before[pid]) / elapsed, ResidentMegabytes(pid)});
  }
  return report;
}

}  // namespace teaseljunction
