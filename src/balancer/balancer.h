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

/// Selects the target of each attempt from the entry daemon's own observations. Not thread-safe:
/// the owner serialises all calls.
class balancer {
 public:
  ~balancer();
  balancer(balancer&&) noexcept;
  balancer& operator=(balancer&&) noexcept;

  /// Replaces the set of targets; `targets` is the whole directory. Observations of a target are
  /// kept while its incarnation stays the same. A target that joins a known service, or returns
  /// with another incarnation, gets an increasing share of calls over 10 s.
  void SetTargets(absl::Span<const balancer_target> targets, absl::Time now);

  /// Returns the target for the next attempt of a call, or nothing when every target of the service
  /// is draining or excluded. Ejected targets and targets that would refuse the call are returned
  /// only when there is no other. A call whose expected latency is a large fraction of its
  /// `target_latency` goes to another data centre for a smaller gain in latency.
  absl::optional<target_choice> ChooseTarget(
      absl::string_view service, request_priority priority, uint8_t cohort,
      absl::Span<const std::string> excluded_daemon_ids, absl::Time now,
      absl::Duration target_latency = absl::InfiniteDuration());

  /// Records that an attempt was sent to the target. Must be followed by exactly one
  /// `OnAttemptFinished`.
  void OnAttemptStarted(absl::string_view daemon_id, absl::Time now);

  /// Records the end of an attempt. `latency` is the time since `OnAttemptStarted`. `level` is the
  /// admission threshold that came with the response, or the default one without a response. A
  /// refusal counts as a longer latency but not as a failure. The result of an attempt that was
  /// sent before the target's current incarnation joined is ignored.
  void OnAttemptFinished(absl::string_view daemon_id, attempt_result result, absl::Duration latency,
                         const overload_level& level, absl::Time now);

  /// Records the load that a target reported with an answer: its running and queued calls divided
  /// by its concurrency limit. Crowded targets get fewer calls, and calls leave a crowded data
  /// centre for one with a lower load.
  void ReportLoad(absl::string_view daemon_id, double load, absl::Time now);

  /// Sets whether the remote share decides which calls leave the data centre (`planned` overload
  /// control), and targets are drawn by capacity and load. Default false.
  void SetPlanned(bool planned);

  /// Returns the remote share of the service as of the last choice, or nothing when the service is
  /// unknown.
  absl::optional<spill_status> SpillStatus(absl::string_view service) const;

  /// Returns false when every target of the service that is not ejected has reported a level that
  /// refuses such a request. A reported level expires after about 1 s, at a different time for each
  /// target, so that only a few requests probe the service again. Returns true for a service
  /// without such targets.
  bool AnyTargetAdmits(absl::string_view service, request_priority priority, uint8_t cohort,
                       absl::Time now) const;

  /// Returns the number of targets of the service in the directory, draining ones included.
  size_t TargetCount(absl::string_view service) const;

 private:
  friend class balancer_builder;
  explicit balancer(std::unique_ptr<balancer_state> state);

  std::unique_ptr<balancer_state> state_;
};

/// Builds a balancer. The daemon id and the random source are required.
class balancer_builder {
 public:
  /// Sets the id of this daemon, which determines its subset of targets.
  balancer_builder& SetDaemonId(std::string daemon_id);
  /// Sets the data centre of this daemon.
  balancer_builder& SetDataCentre(std::string data_centre);
  /// Sets the source of the seed for the balancer's random numbers. It is used in `Build` only.
  balancer_builder& SetRandomSource(random_source* random);
  /// Sets the number of targets per service that this daemon sends calls to. Clamped to 1 to 64.
  /// Default 20.
  balancer_builder& SetSubsetSize(size_t subset_size);
  /// Sets the initial value of `balancer::SetPlanned`.
  balancer_builder& SetPlanned(bool planned);
  /// Returns the balancer. May be called once.
  balancer Build();

 private:
  std::string daemon_id_;
  std::string data_centre_;
  random_source* random_ = nullptr;
  size_t subset_size_ = 20;
  bool planned_ = false;
};

}  // namespace teaseljunction
