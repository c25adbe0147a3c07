#include "cli/command_line.h"

#include <algorithm>

#include "absl/flags/reflection.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace teaseljunction {
namespace {

// Abseil's own parser exits with 1 on a usage error, which this tool reserves for refusals, so
// flags are set individually through Abseil's reflection.

struct flag_argument {
  std::string name;
  absl::optional<std::string> value;
};

struct parsed_command_line {
  std::vector<std::string> positional;
  std::vector<flag_argument> flags;
  bool help = false;
};

boost::leaf::error_id UsageError(const std::string& text) {
  return Fail(error_kind::kSettingInvalid, text);
}

std::string EnvironmentVariableName(const std::string& flag) {
  return absl::StrCat("TEASELJUNCTION_", absl::AsciiStrToUpper(flag));
}

bool IsBoolean(const std::string& name) {
  const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
  return flag != nullptr && flag->IsOfType<bool>();
}

result<parsed_command_line> ParseArguments(const std::vector<std::string>& arguments) {
  parsed_command_line line;
  bool flags_ended = false;
  for (size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (flags_ended || !absl::StartsWith(argument, "-") || argument == "-") {
      line.positional.push_back(argument);
    } else if (argument == "--") {
      flags_ended = true;
    } else if (argument == "--help" || argument == "-h") {
      line.help = true;
    } else {
      const std::pair<std::string, std::string> parts =
          absl::StrSplit(absl::StripPrefix(argument, "--"), absl::MaxSplits('=', 1));
      flag_argument flag{parts.first, absl::nullopt};
      if (absl::StrContains(argument, '=')) {
        flag.value = parts.second;
      } else if (IsBoolean(parts.first)) {
        flag.value = "true";
      } else if (i + 1 < arguments.size()) {
        flag.value = arguments[++i];
      } else {
        return UsageError(absl::StrCat(argument, " needs a value"));
      }
      line.flags.push_back(std::move(flag));
    }
  }
  return line;
}

std::vector<std::string> NameWords(const command_entry& command) {
  return absl::StrSplit(command.name, ' ');
}

const command_entry* FindCommand(absl::Span<const command_entry> commands,
                                 const std::vector<std::string>& words) {
  for (const command_entry& command : commands) {
    const std::vector<std::string> name = NameWords(command);
    if (name.size() <= words.size() && std::equal(name.begin(), name.end(), words.begin())) {
      return &command;
    }
  }
  return nullptr;
}

std::string Synopsis(const command_entry& command) {
  return absl::StrCat("teaseljunction ", command.name, command.arguments.empty() ? "" : " ",
                      command.arguments);
}

void PrintOverview(absl::Span<const command_entry> commands, std::ostream& out) {
  out << "Usage: teaseljunction COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n";
  for (const command_entry& command : commands) out << "  " << Synopsis(command) << "\n";
  out << "\n\"teaseljunction COMMAND --help\" describes a command and its flags.\n"
      << "Exit codes: 0 success, 1 refused, 2 usage error, 3 no server reachable, 4 outcome "
         "unknown.\n";
}

void PrintHelp(const command_entry& command, std::ostream& out) {
  out << "Usage: " << Synopsis(command) << " [FLAGS]\n\n" << command.help << "\n";
  if (command.flags.empty()) return;
  out << "\nFlags, which can also be set by the environment variable in brackets:\n";
  for (const std::string& name : command.flags) {
    const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    out << "  --" << name << " [" << EnvironmentVariableName(name) << "]: " << flag->Help()
        << "; default: \"" << flag->DefaultValue() << "\"\n";
  }
}

result<void> SetFlag(const std::string& name, const std::string& value, const std::string& source) {
  std::string parse_error;
  if (absl::FindCommandLineFlag(name)->ParseFrom(value, &parse_error)) return {};
  return UsageError(absl::StrCat(source, " has an invalid value: ", parse_error));
}

result<void> SetFlags(const command_entry& command, const parsed_command_line& line,
                      const environment_lookup& environment) {
  for (const std::string& name : command.flags) {
    const char* value = environment(EnvironmentVariableName(name));
    if (value != nullptr) BOOST_LEAF_CHECK(SetFlag(name, value, EnvironmentVariableName(name)));
  }
  for (const flag_argument& flag : line.flags) {
    if (std::find(command.flags.begin(), command.flags.end(), flag.name) == command.flags.end()) {
      return UsageError(absl::StrCat("--", flag.name, " is no flag of \"", command.name, "\""));
    }
    BOOST_LEAF_CHECK(SetFlag(flag.name, *flag.value, absl::StrCat("--", flag.name)));
  }
  return {};
}

result<exit_code> Run(absl::Span<const command_entry> commands,
                      const std::vector<std::string>& arguments,
                      const environment_lookup& environment, const command_context& context) {
  BOOST_LEAF_AUTO(line, ParseArguments(arguments));
  const command_entry* command = FindCommand(commands, line.positional);
  if (line.help && (command == nullptr || line.positional.empty())) {
    PrintOverview(commands, context.out);
    return exit_code::kOk;
  }
  if (command == nullptr) {
    return UsageError(absl::StrCat("unknown command \"", absl::StrJoin(line.positional, " "),
                                   "\"; see teaseljunction --help"));
  }
  if (line.help) {
    PrintHelp(*command, context.out);
    return exit_code::kOk;
  }
  const std::vector<std::string> rest(line.positional.begin() + NameWords(*command).size(),
                                      line.positional.end());
  if (rest.size() < command->min_arguments || rest.size() > command->max_arguments) {
    return UsageError(absl::StrCat("wrong number of arguments; expected: ", Synopsis(*command)));
  }
  BOOST_LEAF_CHECK(SetFlags(*command, line, environment));
  return command->run(context, rest);
}

}  // namespace

exit_code RunCommandLine(absl::Span<const command_entry> commands,
                         const std::vector<std::string>& arguments,
                         const environment_lookup& environment, const command_context& context) {
  const auto code =
      Capture<exit_code>([&] { return Run(commands, arguments, environment, context); });
  if (code.index() == 0) return std::get<0>(code);
  context.err << std::get<1>(code).detail << "\n";
  return exit_code::kUsage;
}

}  // namespace teaseljunction
