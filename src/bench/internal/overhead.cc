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
constexpr int kHttpOk = 200;
constexpr double kPageBytes = 4096;

struct latency_samples {
  absl::Mutex mutex;
  std::vector<double> milliseconds ABSL_GUARDED_BY(mutex);
  uint64_t failures ABSL_GUARDED_BY(mutex) = 0;
};

class fixed_rate_sender {
 public:
  explicit fixed_rate_sender(const overhead_settings& settings)
      : settings_(settings), client_(curl_client_builder().Threads(2).Build()) {}

  // Sends calls at a fixed rate for one round, then waits for all responses.
  void SendRound(const std::string& address, int rate, latency_samples& samples) {
    const int calls = static_cast<int>(absl::ToDoubleSeconds(settings_.round_duration) * rate);
    const absl::Duration interval = absl::Seconds(1) / rate;
    absl::BlockingCounter pending(calls);
    const absl::Time begin = clock_.Now();
    for (int i = 0; i < calls; ++i) {
      const absl::Time due = begin + i * interval;
      const absl::Duration wait = due - clock_.Now();
      if (wait > absl::ZeroDuration()) absl::SleepFor(wait);
      SendOne(address, samples, pending);
    }
    pending.Wait();
  }

 private:
  void SendOne(const std::string& address, latency_samples& samples,
               absl::BlockingCounter& pending) {
    const absl::Time sent = clock_.Now();
    client_->Send(address, {"GET", settings_.path, {{"X-Api-Key", settings_.key}}, ""}, false,
                  kCallTimeout, [this, sent, &samples, &pending](outcome<http_response> response) {
                    const double latency_ms = absl::ToDoubleMilliseconds(clock_.Now() - sent);
                    const auto* received = std::get_if<http_response>(&response);
                    {
                      absl::MutexLock lock(&samples.mutex);
                      if (received != nullptr && received->status == kHttpOk) {
                        samples.milliseconds.push_back(latency_ms);
                      } else {
                        ++samples.failures;
                      }
                    }
                    pending.DecrementCount();
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

overhead_row MakeRow(int rate, const std::string& call_path, latency_samples& samples) {
  absl::MutexLock lock(&samples.mutex);
  std::sort(samples.milliseconds.begin(), samples.milliseconds.end());
  overhead_row row;
  row.rate = rate;
  row.call_path = call_path;
  row.calls = samples.milliseconds.size();
  row.failures = samples.failures;
  row.p50 = Percentile(samples.milliseconds, 0.5);
  row.p99 = Percentile(samples.milliseconds, 0.99);
  row.p999 = Percentile(samples.milliseconds, 0.999);
  return row;
}

// Returns the CPU seconds that a process has used so far: utime and stime, fields 14 and 15 of
// /proc/PID/stat (see proc(5)). The name in field 2 may contain spaces, hence the search for its
// closing parenthesis.
double CpuSeconds(int pid) {
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
  const std::vector<std::pair<std::string, std::string>> call_paths = {
      {"direct", settings.direct},
      {"one daemon", settings.local},
      {"two daemons", settings.remote}};
  for (const auto& [call_path, address] : call_paths) {
    if (address.empty()) {
      return Fail(error_kind::kSettingInvalid, absl::StrCat("no address for ", call_path));
    }
  }
  system_clock_source clock;
  fixed_rate_sender sender(settings);
  overhead_report report;
  std::map<int, double> cpu_seconds_before;
  for (const int pid : settings.pids) cpu_seconds_before[pid] = CpuSeconds(pid);
  const absl::Time begin = clock.Now();
  for (const int rate : settings.rates) {
    std::map<std::string, latency_samples> samples;
    latency_samples warm_up;
    for (const auto& [call_path, address] : call_paths) sender.SendRound(address, rate, warm_up);
    for (int round = 0; round < settings.rounds; ++round) {
      for (const auto& [call_path, address] : call_paths) {
        sender.SendRound(address, rate, samples[call_path]);
      }
    }
    const size_t first = report.rows.size();
    for (const auto& [call_path, address] : call_paths) {
      report.rows.push_back(MakeRow(rate, call_path, samples[call_path]));
      report.rows.back().added_p99 = report.rows.back().p99 - report.rows[first].p99;
    }
  }
  const double elapsed = absl::ToDoubleSeconds(clock.Now() - begin);
  for (const int pid : settings.pids) {
    report.processes.push_back(
        {pid, (CpuSeconds(pid) - cpu_seconds_before[pid]) / elapsed, ResidentMegabytes(pid)});
  }
  return report;
}

}  // namespace teaseljunction
