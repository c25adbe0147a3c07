#pragma once

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"

namespace teaseljunction {

/// One line of a log about a call.
struct trace_step {
  /// Name of the log, which tells the daemon.
  std::string log;
  /// Time as written, in the clock of the daemon's host.
  std::string time;
  std::string event;
  std::string request_id;
  /// Calls above this one, as far as the id tells.
  size_t depth = 0;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// Reads a line of the log `log`. Returns nothing when it is not about the request `request_id` or
/// one of the calls made for it. Text before the line's time is allowed.
absl::optional<trace_step> ParseTraceLine(absl::string_view log, absl::string_view line,
                                          absl::string_view request_id);

/// Orders steps by cause, since the clocks of hosts differ: a call before the calls made for it,
/// and of one call its first dispatch, what happened at targets, and its end.
std::vector<trace_step> OrderByCause(std::vector<trace_step> steps);

/// Returns the steps as a JSON list.
std::string EncodeTrace(absl::Span<const trace_step> steps);

}  // namespace teaseljunction
