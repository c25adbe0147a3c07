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

// Abseil's own parser ends the program with 1 on a usage error, which stands for a refusal here.
// Therefore flags are set one by one through Abseil's reflection.

struct flag_argument {
  std::string name;
  absl::optional<std::string> value;
};

struct split_line {
  std::vector<std::string> words;
  std::vector<flag_argument> flags;
  bool help = false;
};

boost::leaf::error_id Usage(const std::string& text) {
  return Fail(error_kind::kSettingInvalid, text);
}

std::string VariableName(const std::string& flag) {
  return absl::StrCat("TEASELJUNCTION_", absl::AsciiStrToUpper(flag));
}

bool IsBoolean(const std::string& name) {
  const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
  return flag != nullptr && flag->IsOfType<bool>();
}

result<split_line> Split(const std::vector<std::string>& arguments) {
  split_line line;
  bool only_words = false;
  for (size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (only_words || !absl::StartsWith(argument, "-") || argument == "-") {
      line.words.push_back(argument);
    } else if (argument == "--") {
      only_words = true;
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
        return Usage(absl::StrCat(argument, " needs a value"));
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
    out << "  --" << name << " [" << VariableName(name) << "]: " << flag->Help() << "; default: \""
        << flag->DefaultValue() << "\"\n";
  }
}

result<void> SetFlag(const std::string& name, const std::string& value, const std::string& source) {
  std::string fault;
  if (absl::FindCommandLineFlag(name)->ParseFrom(value, &fault)) return {};
  return Usage(absl::StrCat(source, " has an invalid value: ", fault));
}

result<void> SetFlags(const command_entry& command, const split_line& line,
                      const environment& variables) {
  for (const std::string& name : command.flags) {
    const char* value = variables(VariableName(name));
    if (value != nullptr) BOOST_LEAF_CHECK(SetFlag(name, value, VariableName(name)));
  }
  for (const flag_argument& flag : line.flags) {
    if (std::find(command.flags.begin(), command.flags.end(), flag.name) == command.flags.end()) {
      return Usage(absl::StrCat("--", flag.name, " is no flag of \"", command.name, "\""));
    }
    BOOST_LEAF_CHECK(SetFlag(flag.name, *flag.value, absl::StrCat("--", flag.name)));
  }
  return {};
}

result<exit_code> Run(absl::Span<const command_entry> commands,
                      const std::vector<std::string>& arguments, const environment& variables,
                      const command_context& context) {
  BOOST_LEAF_AUTO(line, Split(arguments));
  const command_entry* command = FindCommand(commands, line.words);
  if (line.help && (command == nullptr || line.words.empty())) {
    PrintOverview(commands, context.out);
    return exit_code::kOk;
  }
  if (command == nullptr) {
    return Usage(absl::StrCat("unknown command \"", absl::StrJoin(line.words, " "),
                              "\"; see teaseljunction --help"));
  }
  if (line.help) {
    PrintHelp(*command, context.out);
    return exit_code::kOk;
  }
  const std::vector<std::string> rest(line.words.begin() + NameWords(*command).size(),
                                      line.words.end());
  if (rest.size() < command->min_arguments || rest.size() > command->max_arguments) {
    return Usage(absl::StrCat("wrong number of arguments; expected: ", Synopsis(*command)));
  }
  BOOST_LEAF_CHECK(SetFlags(*command, line, variables));
  return command->run(context, rest);
}

}  // namespace

exit_code RunCommandLine(absl::Span<const command_entry> commands,
                         const std::vector<std::string>& arguments, const environment& variables,
                         const command_context& context) {
  const auto ended =
      Capture<exit_code>([&] { return Run(commands, arguments, variables, context); });
  if (ended.index() == 0) return std::get<0>(ended);
  context.err << std::get<1>(ended).detail << "\n";
  return exit_code::kUsage;
}

}  // namespace teaseljunction
