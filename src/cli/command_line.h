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

/// What a command works with.
struct command_context {
  std::ostream& out;
  std::ostream& err;
  http_transport& transport;
};

/// One command of the tool.
struct command_entry {
  /// Words that select the command, for example "manifest check".
  std::string name;
  /// Arguments as shown in the help.
  std::string arguments;
  size_t min_arguments = 0;
  size_t max_arguments = 0;
  /// Names of the flags that the command accepts.
  std::vector<std::string> flags;
  std::string help;
  std::function<exit_code(const command_context&, const std::vector<std::string>& arguments)> run;
};

/// Returns the value of an environment variable, or null.
using environment = std::function<const char*(const std::string& name)>;

/// Decodes a command line (without the program's name), sets the flags of the command from the
/// environment and the command line, and runs the command.
exit_code RunCommandLine(absl::Span<const command_entry> commands,
                         const std::vector<std::string>& arguments, const environment& variables,
                         const command_context& context);

}  // namespace teaseljunction
