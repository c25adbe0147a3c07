#include "balancer/balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include "balancer/internal/balancer_state.h"

namespace teaseljunction {
namespace {

constexpr size_t kLargestSubset = 64;
/// Gain in seconds above which a target in another data centre is used, and the least part of the
/// own latency that it has to be. Hosts of one service often differ in speed by a factor of two,
/// and traffic between data centres costs more than that difference, as long as the own latency is
/// a small part of the target latency.
constexpr double kRemoteGain = 0.0015;
constexpr double kRemoteGainPart = 0.6;
constexpr double kUrgentRemoteGainPart = 0.25;
constexpr double kSmallPartOfTarget = 0.3;
/// One of this many calls stays in a slow data centre, so that its recovery is noticed.
constexpr uint32_t kLocalProbe = 32;
/// Scores within this part of each other count as equal.
constexpr double kTie = 0.05;
constexpr int kColdDraws = 3;
/// Load up to which a target is as good as an idle one, and the part by which each unit above it
/// lengthens the expected latency.
constexpr double kRoomyLoad = 0.6;
constexpr double kCrowdingWeight = 6;
/// Load above which calls go to another data centre whose load is lower by the gain.
constexpr double kCrowdedLoad = 0.75;
constexpr double kLoadGain = 0.15;

/// One call that needs a target.
struct choice_request {
  const service_state& service;
  request_priority priority;
  uint8_t cohort;
  absl::Span<const std::string> excluded;
  absl::Time now;
  /// In seconds.
  double target_latency = std::numeric_limits<double>::infinity();

  bool Excluded(const target_state& target) const {
    return std::find(excluded.begin(), excluded.end(), target.target.daemon_id) != excluded.end();
  }
  bool Usable(const target_state& target) const {
    return !target.Ejected(now) && target.Admits(priority, cohort, now);
  }
  bool Healthy(const target_state& target) const { return !target.Ejected(now); }
  bool Any(const target_state&) const { return true; }

  double Score(const target_state& target) const {
    const double load = target.in_flight + target.held.At(now);
    const double crowding = std::max(0.0, target.LoadAt(now) - kRoomyLoad);
    return (load / target.Ramp(now) + 1) * service.Expected(target, now) *
           (1 + kCrowdingWeight * crowding);
  }

  target_state* Better(target_state* a, target_state* b) const {
    if (a == nullptr || b == nullptr || a == b) return a == nullptr ? b : a;
    const double score_a = Score(*a);
    const double score_b = Score(*b);
    if (std::abs(score_a - score_b) <= kTie * std::min(score_a, score_b)) {
      return b->target.announced_load < a->target.announced_load ? b : a;
    }
    return score_b < score_a ? b : a;
  }
};

/// Targets of one group that a call may be sent to.
class candidate_list {
 public:
  using condition = bool (choice_request::*)(const target_state&) const;

  candidate_list(const choice_request& request, const target_group& group, condition wanted) {
    for (target_state* target : group.targets) {
      if ((request.*wanted)(*target) && !request.Excluded(*target)) targets_[size_++] = target;
    }
  }

  /// Returns the better one of two random candidates, or null when there is none.
  target_state* Pick(const choice_request& request, fast_random& random) const {
    if (size_ == 0) return nullptr;
    if (size_ == 1) return targets_[0];
    const size_t first = Draw(request, random, size_);
    const size_t second = Draw(request, random, first);
    return request.Better(targets_[first], targets_[second]);
  }

 private:
  // Returns the index of a random candidate other than `taken`. A cold target is drawn less often.
  size_t Draw(const choice_request& request, fast_random& random, size_t taken) const {
    size_t index = 0;
    for (int draw = 0; draw < kColdDraws; ++draw) {
      index = random.Below(taken < size_ ? size_ - 1 : size_);
      if (index >= taken) ++index;
      const double ramp = targets_[index]->Ramp(request.now);
      if (ramp >= 1 || random.Fraction() < ramp) break;
    }
    return index;
  }

  std::array<target_state*, kLargestSubset> targets_;
  size_t size_ = 0;
};

double LeastLoad(const target_group& group, absl::Time now) {
  double least = std::numeric_limits<double>::infinity();
  for (const target_state* target : group.targets) least = std::min(least, target->LoadAt(now));
  return least;
}

// The lower one of two estimates is compared: the average of the group contains targets that are
// not chosen, that of one target has few samples.
bool RemoteGains(const choice_request& request, const target_state& choice) {
  const service_state& service = request.service;
  const double local =
      std::min(service.Expected(service.local, request.now), service.Expected(choice, request.now));
  const double load = choice.LoadAt(request.now);
  if (load > kCrowdedLoad && load > LeastLoad(service.remote, request.now) + kLoadGain) return true;
  const double gain = local - service.Expected(service.remote, request.now);
  const bool urgent = local > kSmallPartOfTarget * request.target_latency;
  return gain > std::max(kRemoteGain, (urgent ? kUrgentRemoteGainPart : kRemoteGainPart) * local);
}

target_state* PickTarget(const choice_request& request, fast_random& random) {
  const service_state& service = request.service;
  const candidate_list usable(request, service.local, &choice_request::Usable);
  target_state* choice = usable.Pick(request, random);
  const bool stays = choice != nullptr && !RemoteGains(request, *choice);
  if (stays || (choice != nullptr && random.Below(kLocalProbe) == 0)) return choice;
  const candidate_list remote(request, service.remote, &choice_request::Usable);
  choice = request.Better(choice, remote.Pick(request, random));
  if (choice != nullptr) return choice;
  for (const auto condition : {&choice_request::Healthy, &choice_request::Any}) {
    for (const target_group* group : {&service.local, &service.remote}) {
      choice = candidate_list(request, *group, condition).Pick(request, random);
      if (choice != nullptr) return choice;
    }
  }
  return nullptr;
}

void RecordLevel(target_state& target, attempt_result result, const overload_level& level,
                 absl::Time now) {
  // Without a response there is no level; a refusal with the default level does not admit all.
  if (result != attempt_result::kAnswered && level == overload_level{}) return;
  target.level = level;
  target.level_until = now + target.level_lifetime;
}

}  // namespace

balancer::balancer(std::unique_ptr<balancer_state> state) : state_(std::move(state)) {}
balancer::~balancer() = default;
balancer::balancer(balancer&&) noexcept = default;
balancer& balancer::operator=(balancer&&) noexcept = default;

void balancer::SetTargets(absl::Span<const balancer_target> targets, absl::Time now) {
  state_->SetTargets(targets, now);
}

absl::optional<target_choice> balancer::Choose(absl::string_view service, request_priority priority,
                                               uint8_t cohort,
                                               absl::Span<const std::string> excluded_daemon_ids,
                                               absl::Time now, absl::Duration target_latency) {
  const service_state* known = state_->FindService(service);
  if (known == nullptr) return absl::nullopt;
  const choice_request request{
      *known, priority, cohort, excluded_daemon_ids, now, absl::ToDoubleSeconds(target_latency)};
  const target_state* chosen = PickTarget(request, state_->random);
  if (chosen == nullptr) return absl::nullopt;
  return target_choice{chosen->target.daemon_id, chosen->target.address, chosen->other_data_centre};
}

void balancer::Started(absl::string_view daemon_id, absl::Time) {
  target_state* target = state_->FindTarget(daemon_id);
  if (target != nullptr) ++target->in_flight;
}

void balancer::Finished(absl::string_view daemon_id, attempt_result result, absl::Duration latency,
                        const overload_level& level, absl::Time now) {
  target_state* target = state_->FindTarget(daemon_id);
  if (target == nullptr) return;
  if (target->in_flight > 0) --target->in_flight;
  if (now - latency < target->joined) return;
  service_state* service = state_->FindService(target->target.service);
  RecordLevel(*target, result, level, now);
  service->RecordLatency(*target, result, absl::ToDoubleSeconds(latency), now);
  const bool failed = result == attempt_result::kFailed;
  if (failed || result == attempt_result::kAnswered) target->RecordResult(failed);
  if (failed) service->EjectIfOutlier(*target, now);
}

void balancer::ReportLoad(absl::string_view daemon_id, double load, absl::Time now) {
  target_state* target = state_->FindTarget(daemon_id);
  if (target == nullptr) return;
  target->load = load;
  target->load_told = now;
}

bool balancer::Admits(absl::string_view service, request_priority priority, uint8_t cohort,
                      absl::Time now) const {
  const service_state* known = state_->FindService(service);
  if (known == nullptr) return true;
  const choice_request request{*known, priority, cohort, {}, now};
  bool any_healthy = false;
  for (const target_group* group : {&known->local, &known->remote}) {
    for (const target_state* target : group->targets) {
      if (request.Usable(*target)) return true;
      any_healthy = any_healthy || request.Healthy(*target);
    }
  }
  return !any_healthy;
}

size_t balancer::TargetCount(absl::string_view service) const {
  const service_state* known = state_->FindService(service);
  return known == nullptr ? 0 : known->total;
}

balancer_builder& balancer_builder::SetDaemonId(std::string daemon_id) {
  daemon_id_ = std::move(daemon_id);
  return *this;
}

balancer_builder& balancer_builder::SetDataCentre(std::string data_centre) {
  data_centre_ = std::move(data_centre);
  return *this;
}

balancer_builder& balancer_builder::SetRandomSource(random_source* random) {
  random_ = random;
  return *this;
}

balancer_builder& balancer_builder::SetSubsetSize(size_t subset_size) {
  subset_size_ = std::clamp<size_t>(subset_size, 1, kLargestSubset);
  return *this;
}

balancer balancer_builder::Build() {
  auto state = std::make_unique<balancer_state>();
  state->daemon_id = std::move(daemon_id_);
  state->data_centre = std::move(data_centre_);
  state->random = fast_random(random_->Next());
  state->subset_size = subset_size_;
  return balancer(std::move(state));
}

}  // namespace teaseljunction
