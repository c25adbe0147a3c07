#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "balancer/types.h"
#include "common/random_source.h"
#include "common/types.h"

namespace teaseljunction {

struct balancer_state;

/// Selects the target of each attempt from the entry daemon's own observations. Not synchronised:
/// the owner serialises all calls.
class balancer {
 public:
  ~balancer();
  balancer(balancer&&) noexcept;
  balancer& operator=(balancer&&) noexcept;

  /// Replaces the set of targets with the whole directory. Observations of a target are kept as
  /// long as its incarnation stays the same. A target that joins a known service, or comes back
  /// with another incarnation, ramps up over 10 s.
  void SetTargets(absl::Span<const balancer_target> targets, absl::Time now);

  /// Returns the target for the next attempt of a call, or nothing when the service has no target
  /// that is neither draining nor excluded. Ejected targets and targets that would refuse the call
  /// are returned only when there is no other. A call that takes long in relation to its
  /// `target_latency` goes to another data centre for a smaller gain.
  absl::optional<target_choice> Choose(absl::string_view service, request_priority priority,
                                       uint8_t cohort,
                                       absl::Span<const std::string> excluded_daemon_ids,
                                       absl::Time now,
                                       absl::Duration target_latency = absl::InfiniteDuration());

  /// Records that an attempt was sent to the target. Each call needs one call of `Finished`.
  void Started(absl::string_view daemon_id, absl::Time now);

  /// Records the end of an attempt. `latency` is the time since `Started`, `level` the admission
  /// threshold that came with the response (the default one when there was no response). A
  /// refusal counts as a longer latency but not as a failure. The result of an attempt that began
  /// before the target's current incarnation joined is not attributed to the target.
  void Finished(absl::string_view daemon_id, attempt_result result, absl::Duration latency,
                const overload_level& level, absl::Time now);

  /// Records the load that a target told with an answer: calls that run or wait in relation to what
  /// it can run. Fuller targets get fewer calls, and a full data centre passes calls on to others.
  void ReportLoad(absl::string_view daemon_id, double load, absl::Time now);

  /// Returns false when every usable target of the service has reported a level that refuses such
  /// a request. A reported level ages out in about 1 s, at a different time for each target, so
  /// that a few requests probe the service again. Returns true for a service without targets.
  bool Admits(absl::string_view service, request_priority priority, uint8_t cohort,
              absl::Time now) const;

  /// Number of targets of the service in the directory, draining ones included.
  size_t TargetCount(absl::string_view service) const;

 private:
  friend class balancer_builder;
  explicit balancer(std::unique_ptr<balancer_state> state);

  std::unique_ptr<balancer_state> state_;
};

/// Builds a balancer. The daemon id and the random source are required.
class balancer_builder {
 public:
  /// Id of the own daemon. The subset of targets depends on it.
  balancer_builder& SetDaemonId(std::string daemon_id);
  /// Data centre of the own daemon.
  balancer_builder& SetDataCentre(std::string data_centre);
  /// Source of the seed for the balancer's own random numbers. It is used in `Build` only.
  balancer_builder& SetRandomSource(random_source* random);
  /// Number of targets per service that this daemon sends calls to, 1 to 64. Default 20.
  balancer_builder& SetSubsetSize(size_t subset_size);
  balancer Build();

 private:
  std::string daemon_id_;
  std::string data_centre_;
  random_source* random_ = nullptr;
  size_t subset_size_ = 20;
};

}  // namespace teaseljunction
