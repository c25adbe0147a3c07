#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/error_kind.h"

namespace teaseljunction {

/// The closed list of events of a call. docs/OPERATIONS.md lists their fields.
enum class call_event : uint8_t {
  /// The entry daemon refused the request or ended it with an answer of its own.
  kRefused,
  /// The entry daemon sent the call to a target's daemon.
  kSent,
  /// The entry daemon sends the call once more.
  kResent,
  /// The entry daemon passed on the answer of a target.
  kAnswered,
  /// The caller has gone before there was an answer.
  kCallerGone,
  /// The daemon beside the target refused the call.
  kTargetRefused,
  /// The daemon beside the target started the call.
  kStarted,
  /// A started call ended at the target.
  kFinished,
};

/// Number of call events, for tables indexed by event.
constexpr int kCallEventCount = static_cast<int>(call_event::kFinished) + 1;

/// One field of a line.
struct log_field {
  // NOLINTBEGIN(google-explicit-constructor): fields are written as pairs.
  log_field(absl::string_view field, absl::string_view text) : name(field), value(text) {}
  log_field(absl::string_view field, const char* text) : name(field), value(text) {}
  log_field(absl::string_view field, const std::string& text) : name(field), value(text) {}
  log_field(absl::string_view field, int64_t number);
  log_field(absl::string_view field, uint64_t number);
  log_field(absl::string_view field, uint32_t number);
  log_field(absl::string_view field, int number);
  /// Written in milliseconds.
  log_field(absl::string_view field, absl::Duration duration);
  // NOLINTEND(google-explicit-constructor)

  absl::string_view name;
  std::string value;
};

/// True when the successful steps of a request are written. The choice depends on the request's id
/// alone, so that all daemons keep the same requests.
bool IsSampledRequest(absl::string_view request_id);

/// Writes one line about a call: `event=NAME request=ID` and the fields. Steps of success are
/// written for sampled requests only. All lines share a budget per second, of which failures may
/// use more than successes; lines beyond it are counted. Never blocks. Thread-safe.
void LogCall(call_event event, absl::string_view request_id,
             std::initializer_list<log_field> fields);

/// True when `LogCall` would write the event, so that callers can save the cost of its fields.
bool WantsCallLog(call_event event, absl::string_view request_id);

}  // namespace teaseljunction
