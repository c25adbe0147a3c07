#include "balancer/balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include "absl/strings/str_format.h"
#include "balancer/internal/balancer_state.h"
#include "balancer/internal/planned_choice.h"
#include "balancer/internal/selection_request.h"
#include "common/log.h"

namespace teaseljunction {
namespace {

constexpr size_t kMaxSubsetSize = 64;
// A target in another data centre is used when it reduces the latency by more than this many
// seconds and by more than a fraction of the local latency. Hosts of one service often differ in
// speed by a factor of two, and traffic between data centres costs more than that difference. The
// urgent fraction applies when the local latency exceeds kUrgentLatencyFraction of the target
// latency.
constexpr double kMinRemoteGainSeconds = 0.0015;
constexpr double kRemoteGainFraction = 0.6;
constexpr double kUrgentRemoteGainFraction = 0.25;
constexpr double kUrgentLatencyFraction = 0.3;
// On average one in this many calls stays in a slow local data centre, so that its recovery is
// noticed.
constexpr uint32_t kLocalProbeInterval = 32;
// Maximum number of draws for one candidate. A cold target that is drawn may be rejected.
constexpr int kMaxColdDraws = 3;
// Load above which calls go to another data centre if its load is lower by the gain.
constexpr double kCrowdedLoad = 0.75;
constexpr double kMinLoadGain = 0.15;

constexpr double kMillisecondsPerSecond = 1000;

// Targets of one group that a call may be sent to.
class candidate_list {
 public:
  using condition = bool (selection_request::*)(const target_state&) const;

  candidate_list(const selection_request& request, const target_group& group, condition wanted) {
    for (target_state* target : group.targets) {
      if ((request.*wanted)(*target) && !request.Excluded(*target)) targets_[size_++] = target;
    }
  }

  // Returns the better one of two random candidates, or null when there is none.
  target_state* Pick(const selection_request& request, fast_random& random) const {
    if (size_ == 0) return nullptr;
    if (size_ == 1) return targets_[0];
    const size_t first = DrawIndex(request, random, size_);
    const size_t second = DrawIndex(request, random, first);
    return request.Better(targets_[first], targets_[second]);
  }

 private:
  // Returns the index of a random candidate other than `taken`. Cold targets are drawn less often.
  size_t DrawIndex(const selection_request& request, fast_random& random, size_t taken) const {
    size_t index = 0;
    for (int draw = 0; draw < kMaxColdDraws; ++draw) {
      index = random.Below(taken < size_ ? size_ - 1 : size_);
      if (index >= taken) ++index;
      const double ramp = targets_[index]->RampFactor(request.now);
      if (ramp >= 1 || random.Fraction() < ramp) break;
    }
    return index;
  }

  std::array<target_state*, kMaxSubsetSize> targets_;
  size_t size_ = 0;
};

double LowestLoad(const target_group& group, absl::Time now) {
  double lowest = std::numeric_limits<double>::infinity();
  for (const target_state* target : group.targets) {
    lowest = std::min(lowest, target->ReportedLoad(now));
  }
  return lowest;
}

// Returns whether a call should go to another data centre. The local latency is the lower one of
// two estimates, since the average of the group includes targets that are not chosen, and that of
// one target has few samples.
bool PreferRemote(const selection_request& request, const target_state& choice) {
  const service_state& service = request.service;
  const double local =
      std::min(service.Expected(service.local, request.now), service.Expected(choice, request.now));
  const double load = choice.ReportedLoad(request.now);
  if (load > kCrowdedLoad && load > LowestLoad(service.remote, request.now) + kMinLoadGain)
    return true;
  const double gain = local - service.Expected(service.remote, request.now);
  const bool urgent = local > kUrgentLatencyFraction * request.target_latency;
  return gain > std::max(kMinRemoteGainSeconds,
                         (urgent ? kUrgentRemoteGainFraction : kRemoteGainFraction) * local);
}

target_state* PickTarget(const selection_request& request, fast_random& random) {
  const service_state& service = request.service;
  const candidate_list usable(request, service.local, &selection_request::Usable);
  target_state* choice = usable.Pick(request, random);
  const bool prefer_local = choice != nullptr && !PreferRemote(request, *choice);
  if (prefer_local || (choice != nullptr && random.Below(kLocalProbeInterval) == 0)) return choice;
  const candidate_list remote(request, service.remote, &selection_request::Usable);
  choice = request.Better(choice, remote.Pick(request, random));
  if (choice != nullptr) return choice;
  for (const auto condition : {&selection_request::Healthy, &selection_request::AnyTarget}) {
    for (const target_group* group : {&service.local, &service.remote}) {
      choice = candidate_list(request, *group, condition).Pick(request, random);
      if (choice != nullptr) return choice;
    }
  }
  return nullptr;
}

void RecordLevel(target_state& target, attempt_result result, const overload_level& level,
                 absl::Time now) {
  // An attempt without a response reports no level, and a refusal with the default level does not
  // mean that everything is admitted.
  if (result != attempt_result::kAnswered && level == overload_level{}) return;
  target.level = level;
  target.level_expires_at = now + target.level_lifetime;
}

// An attempt that got no response from the target's daemon carries a load of 0. That must not make
// the target look idle.
bool CredibleReport(const target_state& target, double load) {
  return std::isfinite(load) && load >= 0 && (load > 0 || target.last_answered);
}

void UpdateRemoteShare(absl::string_view name, service_state& service, absl::Time now) {
  if (!service.spill.UpdateDue(now)) return;
  service.spill.Update(SpillInputsOf(service, now), now);
  if (!service.spill.TakeLogDue(now)) return;
  const spill_inputs& inputs = service.spill.Inputs();
  const auto format = [](absl::optional<double> load) {
    return load ? absl::StrFormat("%.2f", *load) : std::string("unknown");
  };
  LOG(INFO) << absl::StrFormat(
      "balancer: service %s sends %.2f of its calls to other data centres; load %s here, %s there; "
      "latency %.1f ms here, %.1f ms there.",
      name, service.spill.Share(), format(inputs.local_load), format(inputs.remote_load),
      inputs.local_latency * kMillisecondsPerSecond,
      inputs.remote_latency * kMillisecondsPerSecond);
}

}  // namespace

balancer::balancer(std::unique_ptr<balancer_state> state) : state_(std::move(state)) {}
balancer::~balancer() = default;
balancer::balancer(balancer&&) noexcept = default;
balancer& balancer::operator=(balancer&&) noexcept = default;

void balancer::SetTargets(absl::Span<const balancer_target> targets, absl::Time now) {
  state_->SetTargets(targets, now);
}

absl::optional<target_choice> balancer::ChooseTarget(
    absl::string_view service, request_priority priority, uint8_t cohort,
    absl::Span<const std::string> excluded_daemon_ids, absl::Time now,
    absl::Duration target_latency) {
  service_state* found = state_->FindService(service);
  if (found == nullptr) return absl::nullopt;
  const selection_request request{
      *found, priority, cohort, excluded_daemon_ids, now, absl::ToDoubleSeconds(target_latency)};
  const target_state* chosen = nullptr;
  if (state_->planned) {
    UpdateRemoteShare(service, *found, now);
    chosen = PickPlannedTarget(request, state_->random);
  }
  if (chosen == nullptr) chosen = PickTarget(request, state_->random);
  if (chosen == nullptr) return absl::nullopt;
  return target_choice{chosen->target.daemon_id, chosen->target.address, chosen->other_data_centre};
}

void balancer::OnAttemptStarted(absl::string_view daemon_id, absl::Time) {
  target_state* target = state_->FindTarget(daemon_id);
  if (target == nullptr) return;
  ++target->in_flight;
  ++target->sent_since_report;
}

void balancer::OnAttemptFinished(absl::string_view daemon_id, attempt_result result,
                                 absl::Duration latency, const overload_level& level,
                                 absl::Time now) {
  target_state* target = state_->FindTarget(daemon_id);
  if (target == nullptr) return;
  if (target->in_flight > 0) --target->in_flight;
  if (now - latency < target->joined_at) return;
  target->last_answered = result == attempt_result::kAnswered;
  service_state* service = state_->FindService(target->target.service);
  RecordLevel(*target, result, level, now);
  service->RecordLatency(*target, result, absl::ToDoubleSeconds(latency), now);
  const bool failed = result == attempt_result::kFailed;
  if (failed || result == attempt_result::kAnswered) target->RecordResult(failed);
  if (failed) service->EjectIfOutlier(*target, now);
}

void balancer::ReportLoad(absl::string_view daemon_id, double load, absl::Time now) {
  target_state* target = state_->FindTarget(daemon_id);
  if (target == nullptr || (state_->planned && !CredibleReport(*target, load))) return;
  target->reported_load = load;
  target->load_reported_at = now;
  target->sent_since_report = 0;
}

bool balancer::AnyTargetAdmits(absl::string_view service, request_priority priority, uint8_t cohort,
                               absl::Time now) const {
  const service_state* found = state_->FindService(service);
  if (found == nullptr) return true;
  const selection_request request{*found, priority, cohort, {}, now};
  bool any_healthy = false;
  for (const target_group* group : {&found->local, &found->remote}) {
    for (const target_state* target : group->targets) {
      if (request.Usable(*target)) return true;
      any_healthy = any_healthy || request.Healthy(*target);
    }
  }
  return !any_healthy;
}

void balancer::SetPlanned(bool planned) {
  if (state_->planned == planned) return;
  state_->planned = planned;
  for (auto& [name, service] : state_->services) service->spill = spill_control();
}

absl::optional<spill_status> balancer::SpillStatus(absl::string_view service) const {
  const service_state* found = state_->FindService(service);
  if (found == nullptr) return absl::nullopt;
  const spill_inputs& inputs = found->spill.Inputs();
  return spill_status{found->spill.Share(), inputs.local_load, inputs.remote_load};
}

size_t balancer::TargetCount(absl::string_view service) const {
  const service_state* found = state_->FindService(service);
  return found == nullptr ? 0 : found->total;
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
  subset_size_ = std::clamp<size_t>(subset_size, 1, kMaxSubsetSize);
  return *this;
}

balancer_builder& balancer_builder::SetPlanned(bool planned) {
  planned_ = planned;
  return *this;
}

balancer balancer_builder::Build() {
  auto state = std::make_unique<balancer_state>();
  state->daemon_id = std::move(daemon_id_);
  state->data_centre = std::move(data_centre_);
  state->random = fast_random(random_->Next());
  state->subset_size = subset_size_;
  state->planned = planned_;
  return balancer(std::move(state));
}

}  // namespace teaseljunction
