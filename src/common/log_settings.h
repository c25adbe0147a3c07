#pragma once

#include <string>

#include "absl/strings/string_view.h"

namespace teaseljunction {

/// Settings of the log of this process.
struct log_settings {
  /// File to append to. If empty, the log goes to standard output.
  std::string file;
  /// Lowest level that is logged: "debug", "info", "warning" or "error".
  std::string level = "info";
};

/// Configures the log of this process. To be called once, before other threads are started. Lines
/// for standard output are written by a separate thread. Returns false if the level is unknown.
bool ConfigureLog(const log_settings& settings);

/// Writes a line, preceded by the current time, to the log of this process. On standard output it
/// does not block: if the reader of the log is too slow, lines are dropped and counted.
/// Thread-safe.
void WriteLogLine(absl::string_view line);

/// Waits until all lines so far are written to standard output, at most 250 ms. To be called before
/// the process ends, because its last lines would otherwise be lost.
void FlushLog();

}  // namespace teaseljunction
