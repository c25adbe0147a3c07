#include "admission/admission_controller.h"

#include <algorithm>
#include <utility>

#include "admission/internal/call_queue.h"
#include "admission/internal/concurrency_limit.h"
#include "admission/internal/level_control.h"
#include "admission/internal/service_time_estimate.h"
#include "admission/internal/standing_queue_detector.h"

namespace teaseljunction {
namespace {

// Priorities that are served newest first and refused by age while they have a standing queue.
constexpr request_priority kSheddablePriorities[] = {request_priority::kLow,
                                                     request_priority::kNormal};

admission_decision Refusal(uint64_t call_id, error_kind reason) {
  return {call_id, admission_verdict::kRefused, reason};
}

}  // namespace

admission_controller::admission_controller(const admission_settings& settings)
    : settings_(settings),
      concurrency_limit_(std::make_unique<concurrency_limit>()),
      queue_(std::make_unique<call_queue>(settings.max_queue_calls, settings.max_queue_bytes)),
      queue_detector_(std::make_unique<standing_queue_detector>()),
      level_control_(std::make_unique<level_control>()),
      service_time_(std::make_unique<service_time_estimate>()) {}

admission_controller::~admission_controller() = default;
admission_controller::admission_controller(admission_controller&&) noexcept = default;
admission_controller& admission_controller::operator=(admission_controller&&) noexcept = default;

uint32_t admission_controller::ConcurrencyLimit() const {
  return settings_.fixed_limit ? slots_ : concurrency_limit_->Current();
}

size_t admission_controller::QueuedCalls() const { return queue_->Size(); }

overload_level admission_controller::Level(absl::Time now) const {
  return level_control_->Level(now);
}

overload_level admission_controller::LevelFor(absl::string_view client_account,
                                              absl::Time now) const {
  return level_control_->LevelFor(client_account, now);
}

void admission_controller::SetSlots(uint32_t slots, absl::Time now) {
  Advance(now);
  slots_ = slots;
  concurrency_limit_->SetSlots(slots, now);
}

void admission_controller::ResetForColdTarget(absl::Time now) {
  Advance(now);
  ++target_generation_;
  in_flight_ = 0;
  concurrency_limit_->Reset(now);
  service_time_->Reset();
}

admission_decision admission_controller::Submit(const admission_request& request, absl::Time now) {
  Advance(now);
  level_control_->OnArrival(request.client_account, request.priority, request.cohort, now);
  if (slots_ == 0) return Refusal(request.call_id, error_kind::kNoTarget);
  if (CannotMeetDeadline(request.priority, request.deadline, now)) {
    return Refusal(request.call_id, error_kind::kDeadlineTooShort);
  }
  if (queue_->Empty() && HasFreeSlot()) {
    queue_->RecordServed(request.priority, request.client_account);
    Start(request.call_id, request.priority);
    return {request.call_id, admission_verdict::kStarted, {}};
  }
  const overload_level level = level_control_->LevelFor(request.client_account, now);
  if (!request.carried && !level.Admits(request.priority, request.cohort)) {
    return Refusal(request.call_id, error_kind::kOverloaded);
  }
  return Enqueue(request, now);
}

admission_decision admission_controller::Enqueue(const admission_request& request, absl::Time now) {
  std::vector<uint64_t> evicted;
  admission_request bounded_request = request;
  // A queued call is refused once it can no longer meet its deadline, so an earlier deadline bounds
  // the queueing time.
  if (!request.carried) {
    bounded_request.deadline = std::min(
        request.deadline, now + request.max_wait + service_time_->Expected(request.priority, now));
  }
  const bool added = queue_->Push(bounded_request, now, evicted);
  for (const uint64_t call_id : evicted) Refuse(call_id, error_kind::kOverloaded);
  if (!added) return Refusal(request.call_id, error_kind::kOverloaded);
  return {request.call_id, admission_verdict::kQueued, {}};
}

void admission_controller::Finish(uint64_t call_id, target_result result,
                                  absl::Duration service_time, absl::Time now) {
  Advance(now);
  const auto entry = running_.find(call_id);
  if (entry == running_.end()) return;
  const running_call call = entry->second;
  running_.erase(entry);
  if (call.target_generation != target_generation_) return;
  concurrency_limit_->OnFinish(result, call.window, service_time, in_flight_, now);
  --in_flight_;
  if (result != target_result::kShed) level_control_->OnFinish();
  if (result == target_result::kAnswered || result == target_result::kTimedOut) {
    service_time_->Add(call.priority, service_time, now);
  }
}

bool admission_controller::Cancel(uint64_t call_id, absl::Time now) {
  Advance(now);
  const bool removed = queue_->Remove(call_id).has_value();
  if (removed) queue_detector_->Observe(*queue_, now);
  return removed;
}

std::vector<admission_decision> admission_controller::Poll(absl::Time now) {
  Advance(now);
  if (slots_ == 0) RefuseAllQueued(error_kind::kNoTarget);
  RefuseExpired(now);
  RefuseOverAge(now);
  StartQueued(now);
  return std::exchange(pending_decisions_, {});
}

absl::Time admission_controller::NextPoll(absl::Time now) const {
  if (!pending_decisions_.empty()) return now;
  if (queue_->Empty() && level_control_->Open()) return absl::InfiniteFuture();
  if (!queue_->Empty() && (slots_ == 0 || HasFreeSlot())) return now;
  absl::Time next = period_start_ + settings_.queue_interval / 2;
  for (int p = 0; p < kPriorityCount; ++p) {
    const auto priority = static_cast<request_priority>(p);
    const queued_call* call = queue_->NextDeadline(priority);
    if (call == nullptr) continue;
    next = std::min(next, call->request.deadline - service_time_->Expected(priority, now));
  }
  return std::max(next, now);
}

bool admission_controller::HasFreeSlot() const { return in_flight_ < ConcurrencyLimit(); }

bool admission_controller::CannotMeetDeadline(request_priority priority, absl::Time deadline,
                                              absl::Time now) const {
  return deadline - now <= service_time_->Expected(priority, now);
}

void admission_controller::Start(uint64_t call_id, request_priority priority) {
  ++in_flight_;
  running_[call_id] =
      running_call{priority, target_generation_, concurrency_limit_->OnStart(in_flight_)};
}

void admission_controller::StartQueued(absl::Time now) {
  std::array<bool, kPriorityCount> newest_first = {};
  for (const request_priority priority : kSheddablePriorities) {
    const auto index = static_cast<size_t>(priority);
    newest_first[index] = queue_detector_->Standing()[index];
  }
  while (!queue_->Empty() && HasFreeSlot()) {
    const queued_call call = queue_->PopNext(newest_first);
    Start(call.request.call_id, call.request.priority);
    pending_decisions_.push_back({call.request.call_id, admission_verdict::kStarted, {}});
  }
  queue_detector_->Observe(*queue_, now);
}

void admission_controller::Refuse(uint64_t call_id, error_kind reason) {
  pending_decisions_.push_back(Refusal(call_id, reason));
}

void admission_controller::RefuseAllQueued(error_kind reason) {
  for (const uint64_t call_id : queue_->CallIds()) {
    queue_->Remove(call_id);
    Refuse(call_id, reason);
  }
}

void admission_controller::RefuseExpired(absl::Time now) {
  for (int p = 0; p < kPriorityCount; ++p) {
    const auto priority = static_cast<request_priority>(p);
    const queued_call* call = queue_->NextDeadline(priority);
    while (call != nullptr && CannotMeetDeadline(priority, call->request.deadline, now)) {
      Refuse(call->request.call_id, error_kind::kDeadlineTooShort);
      queue_->Remove(call->request.call_id);
      call = queue_->NextDeadline(priority);
    }
  }
}

void admission_controller::RefuseOverAge(absl::Time now) {
  const absl::Duration max_age = std::max(settings_.queue_interval, service_time_->Mean());
  for (const request_priority priority : kSheddablePriorities) {
    if (!queue_detector_->Standing()[static_cast<size_t>(priority)]) continue;
    const queued_call* call = queue_->OldestNotCarried(priority);
    while (call != nullptr && now - call->queued_since > max_age) {
      Refuse(call->request.call_id, error_kind::kOverloaded);
      queue_->Remove(call->request.call_id);
      call = queue_->OldestNotCarried(priority);
    }
  }
}

void admission_controller::Advance(absl::Time now) {
  const absl::Duration elapsed = now - last_advance_;
  const double used =
      std::min(1.0, static_cast<double>(in_flight_) / std::max(ConcurrencyLimit(), 1U));
  if (elapsed > absl::ZeroDuration()) busy_time_ += used * elapsed;
  last_advance_ = now;
  if (now - period_start_ >= settings_.queue_interval / 2) EndPeriod(now);
}

void admission_controller::EndPeriod(absl::Time now) {
  const absl::Duration elapsed = now - period_start_;
  // With few slots a call waits for the next free slot even without overload.
  const absl::Duration slot_interval = service_time_->Mean() / std::max(ConcurrencyLimit(), 1U);
  queue_detector_->EndPeriod(*queue_, std::max(settings_.queue_delay_target, slot_interval), now);
  const auto& standing = queue_detector_->Standing();
  concurrency_limit_->SetStandingQueue(
      std::any_of(standing.begin(), standing.end(), [](bool s) { return s; }));
  load_sample sample;
  sample.utilization = absl::FDivDuration(busy_time_, elapsed);
  sample.standing_queue = standing;
  sample.mean_service_time = service_time_->Mean();
  level_control_->Step(sample, now);
  busy_time_ = absl::ZeroDuration();
  period_start_ = now;
}

}  // namespace teaseljunction
