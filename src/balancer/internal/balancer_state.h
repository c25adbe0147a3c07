#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "balancer/internal/fast_random.h"
#include "balancer/internal/target_state.h"
#include "balancer/types.h"

namespace teaseljunction {

/// Targets and services of a balancer, and the selection of the subset of each service.
struct balancer_state {
  std::string daemon_id;
  std::string data_centre;
  fast_random random;
  size_t subset_size = 0;
  /// True when the remote share decides which calls leave the data centre.
  bool planned = false;

  absl::flat_hash_map<std::string, std::unique_ptr<target_state>> targets;
  absl::flat_hash_map<std::string, std::unique_ptr<service_state>> services;

  /// See `balancer::SetTargets`.
  void SetTargets(absl::Span<const balancer_target> announced, absl::Time now);

  /// Return null when the daemon id or the service is unknown.
  target_state* FindTarget(absl::string_view id) const;
  service_state* FindService(absl::string_view name) const;

 private:
  void AddTarget(const balancer_target& announced, std::unique_ptr<target_state> known,
                 absl::Time now);
  void SelectSubsets(absl::Time now);
  /// Keeps the targets with the highest rendezvous weights.
  void SelectSubset(service_state& service) const;
  uint64_t RendezvousWeight(absl::string_view target_id) const;
};

}  // namespace teaseljunction
