#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "common/error_kind.h"

namespace teaseljunction {

/// All events in the life of a call. docs/OPERATIONS.md lists their fields.
enum class call_event : uint8_t {
  /// The entry daemon refused the request or answered it itself.
  kRefused,
  /// The entry daemon sent the call to a target's daemon.
  kSent,
  /// The entry daemon sends the call again.
  kResent,
  /// The entry daemon forwarded the answer of a target.
  kAnswered,
  /// The caller disconnected before the answer was available.
  kCallerDisconnected,
  /// The daemon beside the target refused the call.
  kTargetRefused,
  /// The daemon beside the target started the call.
  kStarted,
  /// A call that had been started ended at the target.
  kFinished,
};

/// Number of call events, for tables indexed by event.
constexpr int kCallEventCount = static_cast<int>(call_event::kFinished) + 1;

/// A name and its value in a line of the event log.
struct log_field {
  // NOLINTBEGIN(google-explicit-constructor): callers write fields as {name, value}.
  log_field(absl::string_view field, absl::string_view text) : name(field), value(text) {}
  log_field(absl::string_view field, const char* text) : name(field), value(text) {}
  log_field(absl::string_view field, const std::string& text) : name(field), value(text) {}
  log_field(absl::string_view field, int64_t number);
  log_field(absl::string_view field, uint64_t number);
  log_field(absl::string_view field, uint32_t number);
  log_field(absl::string_view field, int number);
  /// Formats the duration in milliseconds with one decimal.
  log_field(absl::string_view field, absl::Duration duration);
  // NOLINTEND(google-explicit-constructor)

  absl::string_view name;
  std::string value;
};

/// Returns true if the successful events of a request are logged. The choice depends on the request
/// id alone, so that all daemons sample the same requests.
bool IsSampledRequest(absl::string_view request_id);

/// Writes a line about a call: `event=NAME request=ID` and the fields. Successful events are logged
/// for sampled requests only. All lines share a budget per second, of which failures may use more
/// than successes; lines beyond the budget are dropped and counted. Never blocks. Thread-safe.
void LogCall(call_event event, absl::string_view request_id,
             std::initializer_list<log_field> fields);

/// Returns true if `LogCall` would write the event within its budget, so that callers can avoid the
/// cost of formatting its fields.
bool WantsCallLog(call_event event, absl::string_view request_id);

}  // namespace teaseljunction
