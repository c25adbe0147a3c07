#include "common/event_log.h"

#include <array>
#include <atomic>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "common/clock_source.h"
#include "common/log.h"

namespace teaseljunction {
namespace {

/// Decides whether an event is sampled and which limit of the line budget applies to it.
enum class event_outcome : uint8_t { kFailure, kSuccess };

struct event_entry {
  call_event event;
  absl::string_view name;
  event_outcome outcome;
};

constexpr std::array<event_entry, kCallEventCount> kEvents = {{
    {call_event::kRefused, "refused", event_outcome::kFailure},
    {call_event::kSent, "sent", event_outcome::kSuccess},
    {call_event::kResent, "resent", event_outcome::kFailure},
    {call_event::kAnswered, "answered", event_outcome::kSuccess},
    {call_event::kCallerDisconnected, "caller_gone", event_outcome::kFailure},
    {call_event::kTargetRefused, "target_refused", event_outcome::kFailure},
    {call_event::kStarted, "started", event_outcome::kSuccess},
    {call_event::kFinished, "finished", event_outcome::kSuccess},
}};

/// One in this many requests is sampled.
constexpr uint32_t kSampleInterval = 64;
/// Maximum lines per second of all events together.
constexpr int64_t kLinesPerSecond = 200;
/// A successful event is not logged once this many lines were written in the current second, so
/// that failures are still logged.
constexpr int64_t kSuccessLinesPerSecond = 100;

constexpr absl::string_view NameOf(call_event event) {
  return kEvents[static_cast<size_t>(event)].name;
}

bool IsSuccess(call_event event) {
  return kEvents[static_cast<size_t>(event)].outcome == event_outcome::kSuccess;
}

// Limits the number of lines per second. Threads that race at the start of a second may exceed the
// limit by a few lines.
class line_budget {
 public:
  bool TryTake(bool success) {
    const int64_t second = absl::ToUnixSeconds(clock_.Now());
    if (current_second_.exchange(second) != second) {
      const int64_t dropped = dropped_lines_.exchange(0);
      used_lines_ = 0;
      if (dropped > 0) WriteLogLine(absl::StrCat("event=calls_left_out count=", dropped));
    }
    const int64_t limit = success ? kSuccessLinesPerSecond : kLinesPerSecond;
    if (++used_lines_ <= limit) return true;
    --used_lines_;
    ++dropped_lines_;
    return false;
  }

 private:
  const system_clock_source clock_ = {};
  std::atomic<int64_t> current_second_ = 0;
  std::atomic<int64_t> used_lines_ = 0;
  std::atomic<int64_t> dropped_lines_ = 0;
};

line_budget& Budget() {
  static line_budget budget;
  return budget;
}

// Quotes values that contain separators, so that a parser can split the line into fields.
void AppendValue(absl::string_view value, std::string& line) {
  const bool needs_no_quotes =
      !value.empty() && value.find_first_of(" \"=\n\r\t") == absl::string_view::npos;
  if (needs_no_quotes) {
    absl::StrAppend(&line, value);
    return;
  }
  line.push_back('"');
  for (const char character : value) {
    if (character == '"' || character == '\\') line.push_back('\\');
    line.push_back(static_cast<unsigned char>(character) < 0x20 ? ' ' : character);
  }
  line.push_back('"');
}

}  // namespace

log_field::log_field(absl::string_view field, int64_t number)
    : name(field), value(absl::StrCat(number)) {}
log_field::log_field(absl::string_view field, uint64_t number)
    : name(field), value(absl::StrCat(number)) {}
log_field::log_field(absl::string_view field, uint32_t number)
    : name(field), value(absl::StrCat(number)) {}
log_field::log_field(absl::string_view field, int number)
    : name(field), value(absl::StrCat(number)) {}
log_field::log_field(absl::string_view field, absl::Duration duration)
    : name(field), value(absl::StrFormat("%.1f", absl::ToDoubleMilliseconds(duration))) {}

bool IsSampledRequest(absl::string_view request_id) {
  // FNV-1a is stable across processes and builds, so all versions of the daemon sample the same
  // requests.
  uint32_t hash = 2166136261U;
  for (const char character : request_id) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 16777619U;
  }
  return hash % kSampleInterval == 0;
}

bool WantsCallLog(call_event event, absl::string_view request_id) {
  return !IsSuccess(event) || IsSampledRequest(request_id);
}

void LogCall(call_event event, absl::string_view request_id,
             std::initializer_list<log_field> fields) {
  if (!WantsCallLog(event, request_id)) return;
  if (!Budget().TryTake(IsSuccess(event))) return;
  std::string line = absl::StrCat("event=", NameOf(event), " request=");
  AppendValue(request_id, line);
  for (const log_field& field : fields) {
    absl::StrAppend(&line, " ", field.name, "=");
    AppendValue(field.value, line);
  }
  WriteLogLine(line);
}

}  // namespace teaseljunction
