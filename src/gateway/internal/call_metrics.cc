#include "gateway/call_metrics.h"

#include <cmath>
#include <functional>
#include <thread>

#include "absl/strings/str_cat.h"

namespace teaseljunction {
namespace {

namespace bh = boost::histogram;

constexpr int kLatencyBins = 60;
constexpr double kMinLatencySeconds = 1e-5;
constexpr double kMaxLatencySeconds = 1e2;

template <class Histogram>
Histogram MakeLatencyHistogram() {
  return bh::make_histogram(bh::axis::integer<>(0, kPriorityCount),
                            bh::axis::regular<double, bh::axis::transform::log>(
                                kLatencyBins, kMinLatencySeconds, kMaxLatencySeconds));
}

// Appends one histogram for each priority, with cumulative buckets.
template <class Histogram>
void AppendHistogram(const Histogram& histogram, absl::string_view name, std::string* out) {
  absl::StrAppend(out, "# TYPE ", name, " histogram\n");
  const auto& axis = histogram.axis(1);
  for (int priority = 0; priority < kPriorityCount; ++priority) {
    const std::string label =
        absl::StrCat("priority=\"", PriorityName(static_cast<request_priority>(priority)), "\"");
    double total = histogram.at(priority, -1);
    for (int bin = 0; bin < axis.size(); ++bin) {
      const double count = histogram.at(priority, bin);
      total += count;
      if (count == 0) continue;
      absl::StrAppend(out, name, "_bucket{", label, ",le=\"", axis.bin(bin).upper(), "\"} ", total,
                      "\n");
    }
    total += histogram.at(priority, axis.size());
    absl::StrAppend(out, name, "_bucket{", label, ",le=\"+Inf\"} ", total, "\n");
    absl::StrAppend(out, name, "_count{", label, "} ", total, "\n");
  }
}

void AppendCounter(absl::string_view name, uint64_t value, std::string* out) {
  absl::StrAppend(out, "# TYPE ", name, " counter\n", name, " ", value, "\n");
}

/// Label and count of each event of the schedule of returning requests.
struct return_event {
  absl::string_view name;
  uint64_t return_counts::*count;
};
constexpr return_event kReturnEvents[] = {
    {"made", &return_counts::made},       {"redeemed", &return_counts::redeemed},
    {"early", &return_counts::early},     {"expired", &return_counts::expired},
    {"evicted", &return_counts::evicted}, {"withheld", &return_counts::withheld},
    {"placed", &return_counts::placed},
};

}  // namespace

call_metrics::shard::shard()
    : latency(MakeLatencyHistogram<latency_histogram>()),
      added_latency(MakeLatencyHistogram<latency_histogram>()) {}

call_metrics::call_metrics() = default;

call_metrics::shard& call_metrics::ShardOfThread() {
  return shards_[std::hash<std::thread::id>()(std::this_thread::get_id()) % kShardCount];
}

void call_metrics::RecordResponse(request_priority priority, absl::Duration latency,
                                  absl::Duration service_time) {
  shard& thread_shard = ShardOfThread();
  absl::MutexLock lock(&thread_shard.mutex);
  thread_shard.latency(static_cast<int>(priority), absl::ToDoubleSeconds(latency));
  thread_shard.added_latency(static_cast<int>(priority),
                             absl::ToDoubleSeconds(latency - service_time));
}

void call_metrics::RecordError(error_kind kind) {
  shard& thread_shard = ShardOfThread();
  absl::MutexLock lock(&thread_shard.mutex);
  ++thread_shard.errors[static_cast<size_t>(kind)];
}

void call_metrics::RecordAttempt(bool retry) {
  shard& thread_shard = ShardOfThread();
  absl::MutexLock lock(&thread_shard.mutex);
  ++thread_shard.attempts;
  if (retry) ++thread_shard.retries;
}

void call_metrics::RecordReturns(const return_counts& counts) {
  shard& thread_shard = ShardOfThread();
  absl::MutexLock lock(&thread_shard.mutex);
  for (const return_event& event : kReturnEvents) {
    thread_shard.returns.*event.count += counts.*event.count;
  }
}

std::string call_metrics::FormatPrometheus() const {
  latency_histogram latency = MakeLatencyHistogram<latency_histogram>();
  latency_histogram added_latency = MakeLatencyHistogram<latency_histogram>();
  std::array<uint64_t, kErrorKindCount> errors = {};
  uint64_t attempts = 0;
  uint64_t retries = 0;
  return_counts returns;
  for (const shard& thread_shard : shards_) {
    absl::MutexLock lock(&thread_shard.mutex);
    latency += thread_shard.latency;
    added_latency += thread_shard.added_latency;
    for (const return_event& event : kReturnEvents) {
      returns.*event.count += thread_shard.returns.*event.count;
    }
    for (size_t kind = 0; kind < errors.size(); ++kind) errors[kind] += thread_shard.errors[kind];
    attempts += thread_shard.attempts;
    retries += thread_shard.retries;
  }
  std::string report;
  AppendHistogram(latency, "teaseljunction_call_seconds", &report);
  AppendHistogram(added_latency, "teaseljunction_call_added_seconds", &report);
  AppendCounter("teaseljunction_attempts_total", attempts, &report);
  AppendCounter("teaseljunction_retries_total", retries, &report);
  absl::StrAppend(&report, "# TYPE teaseljunction_return_promises_total counter\n");
  for (const return_event& event : kReturnEvents) {
    absl::StrAppend(&report, "teaseljunction_return_promises_total{event=\"", event.name, "\"} ",
                    returns.*event.count, "\n");
  }
  absl::StrAppend(&report, "# TYPE teaseljunction_errors_total counter\n");
  for (size_t kind = 0; kind < errors.size(); ++kind) {
    if (errors[kind] == 0) continue;
    absl::StrAppend(&report, "teaseljunction_errors_total{kind=\"",
                    AnswerFor(static_cast<error_kind>(kind)).name, "\"} ", errors[kind], "\n");
  }
  for (const auto& format : sources_) report += format();
  return report;
}

}  // namespace teaseljunction
