#pragma once

namespace teaseljunction {

/// Exit codes of the command-line tool.
enum class exit_code {
  kOk = 0,
  /// The request was refused and has not been carried out, or a check failed.
  kRefused = 1,
  /// The command line or a file is invalid; nothing was sent.
  kUsage = 2,
  /// No server could be reached; nothing was carried out.
  kUnreachable = 3,
  /// The request may have been carried out.
  kOutcomeUnknown = 4,
};

}  // namespace teaseljunction
