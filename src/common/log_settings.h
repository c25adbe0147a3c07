#pragma once

#include <string>

#include "absl/strings/string_view.h"

namespace teaseljunction {

/// Settings of the process's log.
struct log_settings {
  /// File to append to. Empty writes to the standard output.
  std::string file;
  /// Lowest level that is written: "debug", "info", "warning" or "error".
  std::string level = "info";
};

/// Configures the log of this process. Each program calls it once, before it starts threads. Lines
/// for the standard output are written by a thread of their own.
/// Returns false when the level is unknown.
bool ConfigureLog(const log_settings& settings);

/// Writes a line, with its time before it, to the log of this process. Returns at once; when the
/// reader of the log is too slow, lines are left out and counted.
void WriteLogLine(absl::string_view line);

/// Returns when all lines so far are written, or after a quarter of a second. To be called before
/// the process ends, whose last lines would otherwise be lost.
void FlushLog();

}  // namespace teaseljunction
