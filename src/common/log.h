#pragma once

#include <easylogging++.h>

#include <string>

#include "absl/strings/string_view.h"

namespace teaseljunction {

/// Settings of the process's log.
struct log_settings {
  /// File to append to. Empty writes to the standard error stream.
  std::string file;
  /// Lowest level that is written: "debug", "info", "warning" or "error".
  std::string level = "info";
};

/// Configures the log of this process. Each program calls it once, before it starts threads.
/// Returns false when the level is unknown.
bool ConfigureLog(const log_settings& settings);

}  // namespace teaseljunction
