#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "common/error_kind.h"
#include "common/types.h"
#include "overload/return_schedule.h"

namespace teaseljunction {

/// Counters and latency histograms of the calls handled by one daemon. Thread-safe; each thread
/// writes to one of several shards, and `FormatPrometheus` merges them.
class call_metrics {
 public:
  call_metrics();

  /// Records a call that ended with a complete response of a target. `latency` is the time from the
  /// arrival of the request to its response; `service_time` is the part of it spent at the target,
  /// as measured by the target's daemon.
  void RecordResponse(request_priority priority, absl::Duration latency,
                      absl::Duration service_time);

  /// Records a call that ended with an error.
  void RecordError(error_kind kind);

  /// Records an attempt. `retry` is false for the first attempt of a call and true for all others.
  void RecordAttempt(bool retry);

  /// Records events of the schedule of returning requests.
  void RecordReturns(const return_counts& counts);

  /// Adds metrics that other components keep. `format` returns them in the Prometheus text format;
  /// it is called by `FormatPrometheus`. Must not be called concurrently with it.
  void AddSource(std::function<std::string()> format) { sources_.push_back(std::move(format)); }

  /// Returns all metrics in the Prometheus text format, with durations in seconds.
  std::string FormatPrometheus() const;

 private:
  using latency_axis =
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using latency_histogram = decltype(boost::histogram::make_histogram(
      std::declval<boost::histogram::axis::integer<>>(), std::declval<latency_axis>()));

  struct shard {
    mutable absl::Mutex mutex;
    latency_histogram latency ABSL_GUARDED_BY(mutex);
    latency_histogram added_latency ABSL_GUARDED_BY(mutex);
    std::array<uint64_t, kErrorKindCount> errors ABSL_GUARDED_BY(mutex) = {};
    uint64_t attempts ABSL_GUARDED_BY(mutex) = 0;
    uint64_t retries ABSL_GUARDED_BY(mutex) = 0;
    return_counts returns ABSL_GUARDED_BY(mutex);
    shard();
  };

  static constexpr size_t kShardCount = 8;

  shard& ShardOfThread();

  std::array<shard, kShardCount> shards_;
  std::vector<std::function<std::string()>> sources_;
};

}  // namespace teaseljunction
