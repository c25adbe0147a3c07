#include "standin/service_model.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "standin/key_detector.h"

namespace teaseljunction {
namespace {

// Factor applied to the service time directly after the start; falls to 1 during slow start.
constexpr double kColdStartFactor = 4;
constexpr size_t kMaxQueuedRequests = 20'000;
constexpr size_t kMaxCountedValues = 500'000;

std::string HeaderValue(const standin_request& request, absl::string_view name) {
  return std::string(FindHeader(request.headers, name).value_or(""));
}

absl::Time DeadlineOf(const standin_request& request, absl::Time now) {
  int64_t remaining_ms = 0;
  const auto header = FindHeader(request.headers, "Teaseljunction-Deadline-Ms");
  if (!header.has_value() || !absl::SimpleAtoi(*header, &remaining_ms)) {
    return absl::InfiniteFuture();
  }
  return now + absl::Milliseconds(remaining_ms);
}

std::vector<identifier_count> SortedCounts(
    const absl::flat_hash_map<std::string, uint32_t>& table) {
  std::vector<identifier_count> list;
  list.reserve(table.size());
  for (const auto& [value, count] : table) list.push_back({value, count});
  std::sort(list.begin(), list.end(),
            [](const auto& left, const auto& right) { return left.value < right.value; });
  return list;
}

}  // namespace

service_model::service_model(standin_settings settings, absl::Time start, random_source& random)
    : settings_(std::move(settings)), start_(start), random_(random) {}

model_effects service_model::Submit(uint64_t id, const standin_request& request, absl::Time now) {
  model_effects effects;
  for (const std::string& name : FindKeyLocations(request)) Count(key_like_headers_, name);
  const bool full = running_.size() >= settings_.slots;
  if ((full && settings_.shed) || queue_.size() >= kMaxQueuedRequests) {
    ++counters_.shed;
    effects.shed = true;
    return effects;
  }
  queued_request queued;
  queued.id = id;
  queued.deadline = DeadlineOf(request, now);
  queued.crashes =
      !settings_.crash_on.empty() && absl::StrContains(request.body, settings_.crash_on);
  queued.request_id = HeaderValue(request, "Teaseljunction-Request-Id");
  queued.idempotency_key = HeaderValue(request, "Idempotency-Key");
  queue_.push_back(std::move(queued));
  StartQueuedRequests(now, effects);
  return effects;
}

model_effects service_model::Finish(uint64_t id, bool failed, absl::Time now) {
  model_effects effects;
  if (running_.erase(id) == 0) return effects;
  ++(failed ? counters_.failed : counters_.completed);
  StartQueuedRequests(now, effects);
  return effects;
}

model_effects service_model::Cancel(uint64_t id, absl::Time now) {
  model_effects effects;
  const auto queued =
      std::find_if(queue_.begin(), queue_.end(),
                   [id](const queued_request& candidate) { return candidate.id == id; });
  const bool was_queued = queued != queue_.end();
  if (was_queued) queue_.erase(queued);
  if (was_queued || running_.erase(id) > 0) ++counters_.cancelled;
  StartQueuedRequests(now, effects);
  return effects;
}

void service_model::UpdateSettings(const standin_settings_change& change) {
  slow_factor_ = change.slow_factor.value_or(slow_factor_);
  settings_.fail_ratio = change.fail_ratio.value_or(settings_.fail_ratio);
  settings_.shed = change.shed.value_or(settings_.shed);
}

double service_model::Load() const {
  if (settings_.load_override.has_value()) return *settings_.load_override;
  return std::min(1.0, static_cast<double>(running_.size()) / settings_.slots);
}

standin_counters service_model::Counters() const {
  standin_counters counters = counters_;
  counters.running = static_cast<uint32_t>(running_.size());
  counters.queued = static_cast<uint32_t>(queue_.size());
  counters.idempotency_keys = SortedCounts(idempotency_keys_);
  counters.request_ids = SortedCounts(request_ids_);
  counters.key_like_headers = SortedCounts(key_like_headers_);
  return counters;
}

void service_model::StartQueuedRequests(absl::Time now, model_effects& effects) {
  while (!queue_.empty() && running_.size() < settings_.slots) {
    const queued_request next = std::move(queue_.front());
    queue_.pop_front();
    if (next.deadline <= now) {
      ++counters_.expired;
      effects.expired.push_back(next.id);
      continue;
    }
    effects.started.push_back(Start(next, now));
  }
}

started_request service_model::Start(const queued_request& request, absl::Time now) {
  running_.insert(request.id);
  ++counters_.started;
  Count(request_ids_, request.request_id);
  Count(idempotency_keys_, request.idempotency_key);
  started_request started;
  started.id = request.id;
  started.service_time = settings_.service_time * ServiceTimeFactor(now);
  started.fails = random_.Fraction() < settings_.fail_ratio;
  started.crashes = request.crashes;
  return started;
}

void service_model::Count(counter_table& table, const std::string& value) {
  if (value.empty()) return;
  const auto known = table.find(value);
  if (known != table.end()) {
    ++known->second;
  } else if (table.size() < kMaxCountedValues) {
    table.emplace(value, 1);
  } else {
    ++counters_.uncounted;
  }
}

double service_model::ServiceTimeFactor(absl::Time now) const {
  const absl::Duration age = now - start_;
  if (age >= settings_.slow_start) return slow_factor_;
  const double cold_fraction = 1 - absl::FDivDuration(age, settings_.slow_start);
  return slow_factor_ * (1 + (kColdStartFactor - 1) * cold_fraction);
}

}  // namespace teaseljunction
