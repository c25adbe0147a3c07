#include <fstream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/strings/str_cat.h"
#include "cli/commands.h"
#include "cli/internal/flags.h"
#include "cli/request_trace.h"
#include "cli/text_table.h"

namespace teaseljunction {
namespace {

constexpr size_t kMaxArguments = 1000;

result<std::vector<trace_step>> ReadSteps(const std::vector<std::string>& args) {
  std::vector<trace_step> steps;
  for (size_t i = 1; i < args.size(); ++i) {
    std::ifstream file(args[i]);
    if (!file) {
      return Fail(error_kind::kSettingInvalid, absl::StrCat("cannot read ", args[i]));
    }
    std::string line;
    while (std::getline(file, line)) {
      auto step = ParseTraceLine(args[i], line, args[0]);
      if (step) steps.push_back(*std::move(step));
    }
  }
  return OrderByCause(std::move(steps));
}

void PrintSteps(const std::vector<trace_step>& steps, std::ostream& out) {
  std::vector<std::vector<std::string>> rows = {{"CALL", "EVENT", "TIME", "LOG", "FIELDS"}};
  for (const trace_step& step : steps) {
    std::string fields;
    for (const auto& [name, value] : step.fields) {
      if (value.empty()) continue;
      absl::StrAppend(&fields, fields.empty() ? "" : " ", name, "=", value);
    }
    rows.push_back({absl::StrCat(std::string(2 * step.depth, ' '), step.request_id), step.event,
                    step.time, step.log, fields});
  }
  PrintTable(rows, out);
}

exit_code Explain(const command_context& context, const std::vector<std::string>& args) {
  const auto steps = Capture<std::vector<trace_step>>([&] { return ReadSteps(args); });
  if (const auto* failure = std::get_if<error>(&steps)) return ReportUsageError(context, *failure);
  const auto& found = std::get<std::vector<trace_step>>(steps);
  if (absl::GetFlag(FLAGS_json)) {
    context.out << EncodeTrace(found) << "\n";
  } else if (!found.empty()) {
    PrintSteps(found, context.out);
  }
  if (!found.empty()) return exit_code::kOk;
  context.err << "no line about request " << args[0]
              << "; successful steps are written for one request in 64 only\n";
  return exit_code::kRefused;
}

}  // namespace

std::vector<command_entry> ExplainCommands() {
  return {{"explain",
           "REQUEST_ID LOG...",
           2,
           kMaxArguments,
           {"json"},
           "Reads the logs of daemons and prints the life of a request and of the calls made for "
           "it, ordered by cause.",
           Explain}};
}

}  // namespace teaseljunction
