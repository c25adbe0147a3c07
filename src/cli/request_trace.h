#pragma once

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"

namespace teaseljunction {

/// One log line about a call.
struct trace_step {
  /// Name of the log file, which identifies the daemon.
  std::string log;
  /// Timestamp as written, by the clock of the daemon's host.
  std::string time;
  std::string event;
  std::string request_id;
  /// Number of ancestor calls below the explained request, derived from the request id.
  size_t depth = 0;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// Parses a line of the log file `log`. Returns nullopt when the line is not about the request
/// `request_id` or one of the calls made for it. Text before the timestamp is allowed.
absl::optional<trace_step> ParseTraceLine(absl::string_view log, absl::string_view line,
                                          absl::string_view request_id);

/// Sorts steps causally, because the clocks of hosts differ: a call comes before the calls made for
/// it, and within one call its dispatch comes first, then the events at targets, then its end.
std::vector<trace_step> OrderByCause(std::vector<trace_step> steps);

/// Encodes the steps as a JSON array.
std::string EncodeTrace(absl::Span<const trace_step> steps);

}  // namespace teaseljunction
