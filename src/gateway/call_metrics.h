#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "common/error_kind.h"
#include "common/types.h"

namespace teaseljunction {

/// Counters and latency histograms of the calls of one daemon. Thread-safe; each thread writes to
/// one of several shards, and a report merges them.
class call_metrics {
 public:
  call_metrics();

  /// Records a call that got the whole answer of a target. `latency` is from arrival to answer,
  /// `service_time` the part spent in the target and its daemon.
  void RecordAnswer(request_priority priority, absl::Duration latency, absl::Duration service_time);

  /// Records a call that ended with an error.
  void RecordError(error_kind kind);

  /// Records an attempt; `retry` is true for all but the first of a call.
  void RecordAttempt(bool retry);

  /// Returns all metrics in the Prometheus text format, durations in seconds.
  std::string Report() const;

 private:
  using latency_axis =
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using latency_histogram = decltype(boost::histogram::make_histogram(
      std::declval<boost::histogram::axis::integer<>>(), std::declval<latency_axis>()));

  struct shard {
    mutable absl::Mutex mutex;
    latency_histogram latency ABSL_GUARDED_BY(mutex);
    latency_histogram added ABSL_GUARDED_BY(mutex);
    std::array<uint64_t, kErrorKindCount> errors ABSL_GUARDED_BY(mutex) = {};
    uint64_t attempts ABSL_GUARDED_BY(mutex) = 0;
    uint64_t retries ABSL_GUARDED_BY(mutex) = 0;
    shard();
  };

  static constexpr size_t kShardCount = 8;

  shard& ShardOfThread();

  std::array<shard, kShardCount> shards_;
};

}  // namespace teaseljunction
