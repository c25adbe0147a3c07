#include "bench/decision.h"

#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <numeric>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/barrier.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "admission/admission_controller.h"
#include "balancer/balancer.h"
#include "common/random_source.h"
#include "control/codec.h"
#include "control/replicated_state.h"
#include "shares/token_allocator.h"
#include "shares/token_cache.h"

namespace teaseljunction {
namespace {

constexpr int kThreadCounts[] = {1, 2, 4, 8};
constexpr int kRunsPerRow = 3;
constexpr uint64_t kDecisionsPerThread = 100'000;
constexpr uint64_t kClaimsPerThread = 20'000;
constexpr uint64_t kMemoryBenchmarkClaims = 100'000;
// Virtual time between two consecutive decisions of one instance.
constexpr absl::Duration kDecisionInterval = absl::Microseconds(10);

// Size of the system that the design is made for.
constexpr size_t kAccountCount = 8;
constexpr int kServiceCount = 20;
constexpr int kTargetsPerService = 34;

std::vector<std::string> AccountNames() {
  std::vector<std::string> names;
  for (size_t i = 0; i < kAccountCount; ++i) names.push_back(absl::StrCat("account-", i));
  return names;
}

std::vector<account_rate> AccountRates() {
  std::vector<account_rate> rates;
  for (const std::string& name : AccountNames()) rates.push_back({name, 1e6, 2e6});
  return rates;
}

// A component whose decisions are measured. Not thread-safe.
class decision_benchmark {
 public:
  virtual ~decision_benchmark() = default;
  virtual void Decide(absl::Time now) = 0;
};

class admission_benchmark : public decision_benchmark {
 public:
  explicit admission_benchmark(uint64_t) : controller_(admission_controller_builder().Build()) {
    controller_.SetSlots(200, absl::UnixEpoch());
  }

  void Decide(absl::Time now) override {
    admission_request request;
    request.call_id = ++last_call_id_;
    request.cohort = static_cast<uint8_t>(last_call_id_ % kCohortCount);
    request.client_account = account_names_[last_call_id_ % kAccountCount];
    request.size_bytes = 1024;
    request.deadline = now + absl::Seconds(5);
    controller_.Submit(request, now);
    controller_.Finish(request.call_id, target_result::kAnswered, absl::Milliseconds(5), now);
    controller_.Poll(now);
  }

 private:
  admission_controller controller_;
  std::vector<std::string> account_names_ = AccountNames();
  uint64_t last_call_id_ = 0;
};

class target_choice_benchmark : public decision_benchmark {
 public:
  explicit target_choice_benchmark(uint64_t)
      : balancer_(balancer_builder()
                      .SetDaemonId("own")
                      .SetDataCentre("dc0")
                      .SetRandomSource(&random_)
                      .Build()) {
    std::vector<balancer_target> targets;
    for (int i = 0; i < kServiceCount; ++i) services_.push_back(absl::StrCat("service-", i));
    for (int i = 0; i < kServiceCount * kTargetsPerService; ++i) {
      balancer_target target;
      target.daemon_id = absl::StrCat("daemon-", i);
      target.service = services_[i % kServiceCount];
      target.address = absl::StrCat("10.0.", i / 256, ".", i % 256, ":7003");
      target.data_centre = absl::StrCat("dc", i / kServiceCount % 4);
      target.slots = 200;
      targets.push_back(std::move(target));
    }
    balancer_.SetTargets(targets, absl::UnixEpoch());
  }

  void Decide(absl::Time now) override {
    const std::string& service = services_[++count_ % kServiceCount];
    const auto choice = balancer_.ChooseTarget(service, request_priority::kNormal, 0, {}, now);
    if (!choice.has_value()) return;
    balancer_.OnAttemptStarted(choice->daemon_id, now);
    balancer_.OnAttemptFinished(choice->daemon_id, attempt_result::kAnswered, absl::Milliseconds(5),
                                overload_level(), now);
  }

 private:
  system_random_source random_;
  balancer balancer_;
  std::vector<std::string> services_;
  uint64_t count_ = 0;
};

// Takes tokens; an account that has none left is granted 1,000.
class token_take_benchmark : public decision_benchmark {
 public:
  explicit token_take_benchmark(uint64_t) { cache_.SetAccounts(AccountRates(), absl::UnixEpoch()); }

  void Decide(absl::Time now) override {
    const std::string& account = account_names_[++count_ % kAccountCount];
    if (cache_.TryTake(account, now)) return;
    token_grant grant;
    grant.client_account = account;
    grant.tokens = 1000;
    grant.lifetime = absl::Seconds(1);
    cache_.ApplyGrants({&grant, 1}, now, now);
    cache_.TryTake(account, now);
  }

 private:
  token_cache cache_;
  std::vector<std::string> account_names_ = AccountNames();
  uint64_t count_ = 0;
};

class token_demand_benchmark : public decision_benchmark {
 public:
  explicit token_demand_benchmark(uint64_t) {
    allocator_.SetAccounts(AccountRates(), absl::UnixEpoch());
    allocator_.StartTerm(absl::UnixEpoch());
    for (const std::string& name : AccountNames()) demands_.push_back({name, 10, 0, 0});
  }

  void Decide(absl::Time now) override {
    allocator_.Grant(demands_[++count_ % kAccountCount], now);
  }

 private:
  token_allocator allocator_;
  std::vector<token_demand> demands_;
  uint64_t count_ = 0;
};

log_record ClaimRecord(uint64_t index) {
  claim command;
  command.client_account = absl::StrCat("account-", index % kAccountCount);
  command.identity = absl::StrCat("order-2026-", index);
  command.fingerprint = absl::StrCat("0123456789abcdef0123456789abcdef0123456789abcdef", index);
  command.claim_attempt_id = absl::StrCat("daemon-17-", index);
  log_record record;
  record.index = index;
  record.term = 1;
  record.time = absl::UnixEpoch() + static_cast<int64_t>(index) * kDecisionInterval;
  record.kind = record_kind::kCommand;
  record.data = EncodeCommand(command);
  return record;
}

class claim_benchmark : public decision_benchmark {
 public:
  explicit claim_benchmark(uint64_t decisions) {
    records_.reserve(decisions);
    for (uint64_t i = 1; i <= decisions; ++i) records_.push_back(ClaimRecord(i));
  }

  void Decide(absl::Time) override { state_.Apply(records_[next_record_++]); }

 private:
  replicated_state state_;
  std::vector<log_record> records_;
  size_t next_record_ = 0;
};

// A benchmark with its lock and virtual clock. Aligned to a cache line to avoid false sharing.
struct alignas(64) benchmark_instance {
  absl::Mutex mutex;
  std::unique_ptr<decision_benchmark> benchmark ABSL_GUARDED_BY(mutex);
  absl::Time now ABSL_GUARDED_BY(mutex) = absl::UnixEpoch() + absl::Hours(1);
};

double ThreadCpuSeconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return absl::ToDoubleSeconds(absl::DurationFromTimespec(used));
}

// Returns the CPU time used, in seconds.
double RunDecisions(benchmark_instance& instance, uint64_t decisions) {
  const double begin = ThreadCpuSeconds();
  for (uint64_t i = 0; i < decisions; ++i) {
    absl::MutexLock lock(&instance.mutex);
    instance.now += kDecisionInterval;
    instance.benchmark->Decide(instance.now);
  }
  return ThreadCpuSeconds() - begin;
}

// Times of one run, without the construction of the instances.
struct run_times {
  double elapsed_seconds = 0;
  // Sum over all threads.
  double cpu_seconds = 0;
};

using benchmark_factory = std::unique_ptr<decision_benchmark> (*)(uint64_t decisions);

template <class Benchmark>
std::unique_ptr<decision_benchmark> MakeBenchmark(uint64_t decisions) {
  return std::make_unique<Benchmark>(decisions);
}

struct benchmarked_operation {
  std::string name;
  benchmark_factory make_benchmark;
  uint64_t decisions_per_thread;
};

run_times RunOnce(const benchmarked_operation& operation, int threads, bool shared) {
  const int instance_count = shared ? 1 : threads;
  const uint64_t decisions_per_instance = operation.decisions_per_thread * (shared ? threads : 1);
  std::vector<std::unique_ptr<benchmark_instance>> instances;
  for (int i = 0; i < instance_count; ++i) {
    instances.push_back(std::make_unique<benchmark_instance>());
    absl::MutexLock lock(&instances.back()->mutex);
    instances.back()->benchmark = operation.make_benchmark(decisions_per_instance);
  }
  std::vector<double> cpu_seconds(threads);
  std::vector<std::thread> workers;
  auto* barrier = new absl::Barrier(threads + 1);
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back([&, i] {
      if (barrier->Block()) delete barrier;
      cpu_seconds[i] = RunDecisions(*instances[i % instance_count], operation.decisions_per_thread);
    });
  }
  if (barrier->Block()) delete barrier;
  const absl::Time begin = absl::Now();
  for (std::thread& worker : workers) worker.join();
  run_times times;
  times.elapsed_seconds = absl::ToDoubleSeconds(absl::Now() - begin);
  times.cpu_seconds = std::accumulate(cpu_seconds.begin(), cpu_seconds.end(), 0.0);
  return times;
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

decision_row MeasureRow(const benchmarked_operation& operation, int threads, bool shared) {
  std::vector<double> elapsed;
  std::vector<double> cpu;
  for (int i = 0; i < kRunsPerRow; ++i) {
    const run_times times = RunOnce(operation, threads, shared);
    elapsed.push_back(times.elapsed_seconds);
    cpu.push_back(times.cpu_seconds);
  }
  const auto decisions = static_cast<double>(operation.decisions_per_thread);
  const double seconds = Median(std::move(elapsed));
  decision_row row;
  row.operation = operation.name;
  row.threads = threads;
  row.shared = shared;
  row.nanoseconds = seconds * 1e9 / decisions;
  row.cpu_nanoseconds = Median(std::move(cpu)) * 1e9 / (decisions * threads);
  row.per_second = decisions * threads / seconds;
  return row;
}

double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double MeasureBytesPerClaim() {
  replicated_state state;
  const double before = ResidentBytes();
  for (uint64_t i = 1; i <= kMemoryBenchmarkClaims; ++i) state.Apply(ClaimRecord(i));
  return (ResidentBytes() - before) / static_cast<double>(state.ClaimCount());
}

}  // namespace

decision_report MeasureDecisions(bool deadlock_detection) {
  if (!deadlock_detection) {
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  }
  decision_report report;
  report.claims = kMemoryBenchmarkClaims;
  // Measured first, since the allocator would reuse memory that other runs have freed.
  report.bytes_per_claim = MeasureBytesPerClaim();
  const std::vector<benchmarked_operation> operations = {
      {"admission", MakeBenchmark<admission_benchmark>, kDecisionsPerThread},
      {"target choice", MakeBenchmark<target_choice_benchmark>, kDecisionsPerThread},
      {"token take", MakeBenchmark<token_take_benchmark>, kDecisionsPerThread},
      {"owner demand", MakeBenchmark<token_demand_benchmark>, kDecisionsPerThread},
      {"claim", MakeBenchmark<claim_benchmark>, kClaimsPerThread},
  };
  for (const benchmarked_operation& operation : operations) {
    for (const bool shared : {false, true}) {
      for (const int threads : kThreadCounts) {
        report.rows.push_back(MeasureRow(operation, threads, shared));
      }
    }
  }
  return report;
}

}  // namespace teaseljunction
