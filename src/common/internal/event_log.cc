#include "common/event_log.h"

#include <array>
#include <atomic>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "common/clock_source.h"
#include "common/log.h"

namespace teaseljunction {
namespace {

/// How an event counts against the budget of lines.
enum class event_class : uint8_t { kFailure, kSuccess };

struct event_row {
  call_event event;
  absl::string_view name;
  event_class type;
};

constexpr std::array<event_row, kCallEventCount> kEvents = {{
    {call_event::kRefused, "refused", event_class::kFailure},
    {call_event::kSent, "sent", event_class::kSuccess},
    {call_event::kResent, "resent", event_class::kFailure},
    {call_event::kAnswered, "answered", event_class::kSuccess},
    {call_event::kCallerGone, "caller_gone", event_class::kFailure},
    {call_event::kTargetRefused, "target_refused", event_class::kFailure},
    {call_event::kStarted, "started", event_class::kSuccess},
    {call_event::kFinished, "finished", event_class::kSuccess},
}};

/// One of this many requests is sampled.
constexpr uint32_t kSampleOneOf = 64;
/// Lines a second that all events, and those of success, may use.
constexpr int64_t kLinesPerSecond = 200;
constexpr int64_t kSuccessLinesPerSecond = 100;

constexpr absl::string_view NameOf(call_event event) {
  return kEvents[static_cast<size_t>(event)].name;
}

bool IsSuccess(call_event event) {
  return kEvents[static_cast<size_t>(event)].type == event_class::kSuccess;
}

// Counts the lines of the current second. Threads that meet at its start may write a line more.
class line_budget {
 public:
  bool Take(bool success) {
    const int64_t second = absl::ToUnixSeconds(clock_.Now());
    if (second_.exchange(second) != second) {
      const int64_t left_out = left_out_.exchange(0);
      lines_ = 0;
      if (left_out > 0) WriteLogLine(absl::StrCat("event=calls_left_out count=", left_out));
    }
    const int64_t limit = success ? kSuccessLinesPerSecond : kLinesPerSecond;
    if (++lines_ <= limit) return true;
    --lines_;
    ++left_out_;
    return false;
  }

 private:
  const system_clock_source clock_ = {};
  std::atomic<int64_t> second_ = 0;
  std::atomic<int64_t> lines_ = 0;
  std::atomic<int64_t> left_out_ = 0;
};

line_budget& Budget() {
  static line_budget budget;
  return budget;
}

// Quotes values that a reader could not split otherwise.
void AppendValue(absl::string_view value, std::string& line) {
  const bool plain = !value.empty() && value.find_first_of(" \"=\n\r\t") == absl::string_view::npos;
  if (plain) {
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
  // FNV-1a, so that all versions of the daemon choose the same requests.
  uint32_t hash = 2166136261U;
  for (const char character : request_id) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 16777619U;
  }
  return hash % kSampleOneOf == 0;
}

bool WantsCallLog(call_event event, absl::string_view request_id) {
  return !IsSuccess(event) || IsSampledRequest(request_id);
}

void LogCall(call_event event, absl::string_view request_id,
             std::initializer_list<log_field> fields) {
  if (!WantsCallLog(event, request_id)) return;
  if (!Budget().Take(IsSuccess(event))) return;
  std::string line = absl::StrCat("event=", NameOf(event), " request=");
  AppendValue(request_id, line);
  for (const log_field& field : fields) {
    absl::StrAppend(&line, " ", field.name, "=");
    AppendValue(field.value, line);
  }
  WriteLogLine(line);
}

}  // namespace teaseljunction
