#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "cli/exit_code.h"
#include "cli/http_transport.h"
#include "common/result.h"

namespace teaseljunction {

/// Output streams and HTTP transport that a command uses. The referenced objects must outlive the
/// command.
struct command_context {
  std::ostream& out;
  std::ostream& err;
  http_transport& transport;
};

/// Definition of one command of the command-line tool.
struct command_entry {
  /// Words that select the command, for example "manifest check".
  std::string name;
  /// Positional arguments as shown in the help.
  std::string arguments;
  size_t min_arguments = 0;
  size_t max_arguments = 0;
  /// Names of the flags that the command accepts.
  std::vector<std::string> flags;
  std::string help;
  std::function<exit_code(const command_context&, const std::vector<std::string>& arguments)> run;
};

/// Returns the value of an environment variable, or null when it is not set.
using environment_lookup = std::function<const char*(const std::string& name)>;

/// Parses a command line (without the program name), sets the command's flags from the environment
/// and then from the command line, and runs the command. Usage errors are written to `context.err`
/// and return kUsage.
exit_code RunCommandLine(absl::Span<const command_entry> commands,
                         const std::vector<std::string>& arguments,
                         const environment_lookup& environment, const command_context& context);

}  // namespace teaseljunction
