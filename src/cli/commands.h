#pragma once

#include <vector>

#include "cli/command_line.h"

namespace teaseljunction {

/// Returns all commands of the tool.
std::vector<command_entry> AllCommands();

/// Commands grouped by area; AllCommands() concatenates them.
std::vector<command_entry> ManifestCommands();
std::vector<command_entry> FleetCommands();
std::vector<command_entry> CallCommands();
std::vector<command_entry> ExplainCommands();

}  // namespace teaseljunction
