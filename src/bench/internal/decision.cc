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
#include "shares/share_holder.h"
#include "shares/share_owner.h"

namespace teaseljunction {
namespace {

constexpr int kThreadCounts[] = {1, 2, 4, 8};
constexpr int kRuns = 3;
constexpr uint64_t kDecisionsPerThread = 100'000;
constexpr uint64_t kClaimsPerThread = 20'000;
constexpr uint64_t kClaimsForMemory = 100'000;
// Virtual time between two decisions of one instance.
constexpr absl::Duration kStep = absl::Microseconds(10);

// Sizes of the design scale.
constexpr size_t kAccounts = 8;
constexpr int kServices = 20;
constexpr int kTargetsPerService = 34;

std::vector<std::string> AccountNames() {
  std::vector<std::string> names;
  for (size_t i = 0; i < kAccounts; ++i) names.push_back(absl::StrCat("account-", i));
  return names;
}

std::vector<account_rate> AccountRates() {
  std::vector<account_rate> rates;
  for (const std::string& name : AccountNames()) rates.push_back({name, 1e6, 2e6});
  return rates;
}

// One instance of the component under measurement. Not thread-safe.
class decision_subject {
 public:
  virtual ~decision_subject() = default;
  virtual void Decide(absl::Time now) = 0;
};

class admission_subject : public decision_subject {
 public:
  explicit admission_subject(uint64_t) : controller_(admission_controller_builder().Build()) {
    controller_.SetSlots(200, absl::UnixEpoch());
  }

  void Decide(absl::Time now) override {
    admission_request request;
    request.call_id = ++next_id_;
    request.cohort = static_cast<uint8_t>(next_id_ % kCohortCount);
    request.client_account = names_[next_id_ % kAccounts];
    request.bytes = 1024;
    request.deadline = now + absl::Seconds(5);
    controller_.Arrive(request, now);
    controller_.Finish(request.call_id, target_result::kAnswered, absl::Milliseconds(5), now);
    controller_.Poll(now);
  }

 private:
  admission_controller controller_;
  std::vector<std::string> names_ = AccountNames();
  uint64_t next_id_ = 0;
};

class choice_subject : public decision_subject {
 public:
  explicit choice_subject(uint64_t)
      : balancer_(balancer_builder()
                      .SetDaemonId("own")
                      .SetDataCentre("dc0")
                      .SetRandomSource(&random_)
                      .Build()) {
    std::vector<balancer_target> targets;
    for (int i = 0; i < kServices; ++i) services_.push_back(absl::StrCat("service-", i));
    for (int i = 0; i < kServices * kTargetsPerService; ++i) {
      balancer_target target;
      target.daemon_id = absl::StrCat("daemon-", i);
      target.service = services_[i % kServices];
      target.address = absl::StrCat("10.0.", i / 256, ".", i % 256, ":7003");
      target.data_centre = absl::StrCat("dc", i / kServices % 4);
      target.slots = 200;
      targets.push_back(std::move(target));
    }
    balancer_.SetTargets(targets, absl::UnixEpoch());
  }

  void Decide(absl::Time now) override {
    const std::string& service = services_[++count_ % kServices];
    const auto choice = balancer_.Choose(service, request_priority::kNormal, 0, {}, now);
    if (!choice.has_value()) return;
    balancer_.Started(choice->daemon_id, now);
    balancer_.Finished(choice->daemon_id, attempt_result::kAnswered, absl::Milliseconds(5),
                       overload_level(), now);
  }

 private:
  system_random_source random_;
  balancer balancer_;
  std::vector<std::string> services_;
  uint64_t count_ = 0;
};

// Takes tokens; an account without tokens gets 1,000 new ones.
class take_subject : public decision_subject {
 public:
  explicit take_subject(uint64_t) { holder_.SetAccounts(AccountRates(), absl::UnixEpoch()); }

  void Decide(absl::Time now) override {
    const std::string& account = names_[++count_ % kAccounts];
    if (holder_.TryTake(account, now)) return;
    token_grant grant;
    grant.client_account = account;
    grant.tokens = 1000;
    grant.lifetime = absl::Seconds(1);
    holder_.ApplyGrants({&grant, 1}, now, now);
    holder_.TryTake(account, now);
  }

 private:
  share_holder holder_;
  std::vector<std::string> names_ = AccountNames();
  uint64_t count_ = 0;
};

class demand_subject : public decision_subject {
 public:
  explicit demand_subject(uint64_t) {
    owner_.SetAccounts(AccountRates(), absl::UnixEpoch());
    owner_.StartTerm(absl::UnixEpoch());
    for (const std::string& name : AccountNames()) demands_.push_back({name, 10, 0, 0});
  }

  void Decide(absl::Time now) override { owner_.Demand(demands_[++count_ % kAccounts], now); }

 private:
  share_owner owner_;
  std::vector<token_demand> demands_;
  uint64_t count_ = 0;
};

log_record ClaimRecord(uint64_t index) {
  claim command;
  command.client_account = absl::StrCat("account-", index % kAccounts);
  command.identity = absl::StrCat("order-2026-", index);
  command.fingerprint = absl::StrCat("0123456789abcdef0123456789abcdef0123456789abcdef", index);
  command.attempt_id = absl::StrCat("daemon-17-", index);
  log_record record;
  record.index = index;
  record.term = 1;
  record.time = absl::UnixEpoch() + static_cast<int64_t>(index) * kStep;
  record.kind = record_kind::kCommand;
  record.data = EncodeCommand(command);
  return record;
}

class claim_subject : public decision_subject {
 public:
  explicit claim_subject(uint64_t decisions) {
    records_.reserve(decisions);
    for (uint64_t i = 1; i <= decisions; ++i) records_.push_back(ClaimRecord(i));
  }

  void Decide(absl::Time) override { state_.Apply(records_[next_++]); }

 private:
  replicated_state state_;
  std::vector<log_record> records_;
  size_t next_ = 0;
};

// An instance with its lock and its time, in cache lines of its own.
struct alignas(64) decision_shard {
  absl::Mutex mutex;
  std::unique_ptr<decision_subject> subject ABSL_GUARDED_BY(mutex);
  absl::Time now ABSL_GUARDED_BY(mutex) = absl::UnixEpoch() + absl::Hours(1);
};

double ThreadSeconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return absl::ToDoubleSeconds(absl::DurationFromTimespec(used));
}

// Returns the processor time used, in seconds.
double DecideMany(decision_shard& shard, uint64_t decisions) {
  const double begin = ThreadSeconds();
  for (uint64_t i = 0; i < decisions; ++i) {
    absl::MutexLock lock(&shard.mutex);
    shard.now += kStep;
    shard.subject->Decide(shard.now);
  }
  return ThreadSeconds() - begin;
}

// Times of all threads together, without the construction of the instances.
struct run_times {
  double elapsed_seconds = 0;
  double cpu_seconds = 0;
};

using subject_factory = std::unique_ptr<decision_subject> (*)(uint64_t decisions);

template <class Subject>
std::unique_ptr<decision_subject> MakeSubject(uint64_t decisions) {
  return std::make_unique<Subject>(decisions);
}

struct operation {
  std::string name;
  subject_factory make;
  uint64_t decisions_per_thread;
};

run_times RunOnce(const operation& measured, int threads, bool shared) {
  const int shard_count = shared ? 1 : threads;
  const uint64_t per_shard = measured.decisions_per_thread * (shared ? threads : 1);
  std::vector<std::unique_ptr<decision_shard>> shards;
  for (int i = 0; i < shard_count; ++i) {
    shards.push_back(std::make_unique<decision_shard>());
    absl::MutexLock lock(&shards.back()->mutex);
    shards.back()->subject = measured.make(per_shard);
  }
  std::vector<double> cpu_seconds(threads);
  std::vector<std::thread> workers;
  auto* barrier = new absl::Barrier(threads + 1);
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back([&, i] {
      if (barrier->Block()) delete barrier;
      cpu_seconds[i] = DecideMany(*shards[i % shard_count], measured.decisions_per_thread);
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

decision_row MeasureRow(const operation& measured, int threads, bool shared) {
  std::vector<double> elapsed;
  std::vector<double> cpu;
  for (int i = 0; i < kRuns; ++i) {
    const run_times times = RunOnce(measured, threads, shared);
    elapsed.push_back(times.elapsed_seconds);
    cpu.push_back(times.cpu_seconds);
  }
  const auto decisions = static_cast<double>(measured.decisions_per_thread);
  const double seconds = Median(std::move(elapsed));
  decision_row row;
  row.operation = measured.name;
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
  for (uint64_t i = 1; i <= kClaimsForMemory; ++i) state.Apply(ClaimRecord(i));
  return (ResidentBytes() - before) / static_cast<double>(state.ClaimCount());
}

}  // namespace

decision_report MeasureDecisions(bool deadlock_detection) {
  if (!deadlock_detection) {
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  }
  decision_report report;
  report.claims = kClaimsForMemory;
  // Measured first, since memory that later runs have freed would be used again.
  report.bytes_per_claim = MeasureBytesPerClaim();
  const std::vector<operation> operations = {
      {"admission", MakeSubject<admission_subject>, kDecisionsPerThread},
      {"target choice", MakeSubject<choice_subject>, kDecisionsPerThread},
      {"token take", MakeSubject<take_subject>, kDecisionsPerThread},
      {"owner demand", MakeSubject<demand_subject>, kDecisionsPerThread},
      {"claim", MakeSubject<claim_subject>, kClaimsPerThread},
  };
  for (const operation& measured : operations) {
    for (const bool shared : {false, true}) {
      for (const int threads : kThreadCounts) {
        report.rows.push_back(MeasureRow(measured, threads, shared));
      }
    }
  }
  return report;
}

}  // namespace teaseljunction
