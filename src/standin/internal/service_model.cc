#include "standin/service_model.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "standin/key_detector.h"

namespace teaseljunction {
namespace {

// Factor of the service time right after the start.
constexpr double kColdFactor = 4;
constexpr size_t kMaxQueue = 20'000;
constexpr size_t kMaxCountedValues = 500'000;

std::string HeaderText(const standin_request& request, absl::string_view name) {
  return std::string(FindHeader(request.headers, name).value_or(""));
}

absl::Time DeadlineOf(const standin_request& request, absl::Time now) {
  int64_t left_ms = 0;
  const auto header = FindHeader(request.headers, "Teaseljunction-Deadline-Ms");
  if (!header.has_value() || !absl::SimpleAtoi(*header, &left_ms)) return absl::InfiniteFuture();
  return now + absl::Milliseconds(left_ms);
}

std::vector<identifier_count> ToList(const absl::flat_hash_map<std::string, uint32_t>& table) {
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

model_step service_model::Arrive(uint64_t id, const standin_request& request, absl::Time now) {
  model_step step;
  for (const std::string& name : FindKeyLikeHeaders(request)) Count(key_like_headers_, name);
  const bool full = running_.size() >= settings_.slots;
  if ((full && settings_.shed) || queue_.size() >= kMaxQueue) {
    ++counters_.shed;
    step.shed = true;
    return step;
  }
  waiting_request waiting;
  waiting.id = id;
  waiting.deadline = DeadlineOf(request, now);
  waiting.crashes =
      !settings_.crash_on.empty() && absl::StrContains(request.body, settings_.crash_on);
  waiting.request_id = HeaderText(request, "Teaseljunction-Request-Id");
  waiting.idempotency_key = HeaderText(request, "Idempotency-Key");
  queue_.push_back(std::move(waiting));
  StartWaiting(now, step);
  return step;
}

model_step service_model::Finish(uint64_t id, bool failed, absl::Time now) {
  model_step step;
  if (running_.erase(id) == 0) return step;
  ++(failed ? counters_.failed : counters_.completed);
  StartWaiting(now, step);
  return step;
}

model_step service_model::Cancel(uint64_t id, absl::Time now) {
  model_step step;
  const auto waiting = std::find_if(queue_.begin(), queue_.end(),
                                    [id](const waiting_request& entry) { return entry.id == id; });
  const bool was_waiting = waiting != queue_.end();
  if (was_waiting) queue_.erase(waiting);
  if (was_waiting || running_.erase(id) > 0) ++counters_.cancelled;
  StartWaiting(now, step);
  return step;
}

void service_model::Change(const standin_change& change) {
  slow_ = change.slow.value_or(slow_);
  settings_.fail_ratio = change.fail_ratio.value_or(settings_.fail_ratio);
  settings_.shed = change.shed.value_or(settings_.shed);
}

double service_model::Load() const {
  if (settings_.load_lie.has_value()) return *settings_.load_lie;
  return std::min(1.0, static_cast<double>(running_.size()) / settings_.slots);
}

standin_counters service_model::Counters() const {
  standin_counters counters = counters_;
  counters.running = static_cast<uint32_t>(running_.size());
  counters.queued = static_cast<uint32_t>(queue_.size());
  counters.idempotency_keys = ToList(idempotency_keys_);
  counters.request_ids = ToList(request_ids_);
  counters.key_like_headers = ToList(key_like_headers_);
  return counters;
}

void service_model::StartWaiting(absl::Time now, model_step& step) {
  while (!queue_.empty() && running_.size() < settings_.slots) {
    const waiting_request next = std::move(queue_.front());
    queue_.pop_front();
    if (next.deadline <= now) {
      ++counters_.expired;
      step.expired.push_back(next.id);
      continue;
    }
    step.started.push_back(Start(next, now));
  }
}

started_request service_model::Start(const waiting_request& request, absl::Time now) {
  running_.insert(request.id);
  ++counters_.started;
  Count(request_ids_, request.request_id);
  Count(idempotency_keys_, request.idempotency_key);
  started_request started;
  started.id = request.id;
  started.service_time = settings_.service_time * SlowFactor(now);
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

double service_model::SlowFactor(absl::Time now) const {
  const absl::Duration age = now - start_;
  if (age >= settings_.slow_start) return slow_;
  const double cold = 1 - absl::FDivDuration(age, settings_.slow_start);
  return slow_ * (1 + (kColdFactor - 1) * cold);
}

}  // namespace teaseljunction
