#include "cli/request_trace.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace teaseljunction {
namespace {

constexpr absl::string_view kEventField = "event=";

// Splits "a=1 b=\"x y\"" into name and value pairs.
std::vector<std::pair<std::string, std::string>> SplitFields(absl::string_view text) {
  std::vector<std::pair<std::string, std::string>> fields;
  while (!text.empty()) {
    text = absl::StripPrefix(text, " ");
    const size_t equals = text.find('=');
    if (equals == absl::string_view::npos) break;
    const std::string name(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    std::string value;
    if (absl::ConsumePrefix(&text, "\"")) {
      while (!text.empty() && text[0] != '"') {
        if (text[0] == '\\' && text.size() > 1) text.remove_prefix(1);
        value.push_back(text[0]);
        text.remove_prefix(1);
      }
      absl::ConsumePrefix(&text, "\"");
    } else {
      const absl::string_view word = text.substr(0, text.find(' '));
      value = std::string(word);
      text.remove_prefix(word.size());
    }
    fields.emplace_back(name, std::move(value));
  }
  return fields;
}

std::string ExtractField(std::vector<std::pair<std::string, std::string>>& fields,
                         absl::string_view name) {
  for (auto field = fields.begin(); field != fields.end(); ++field) {
    if (field->first != name) continue;
    std::string value = std::move(field->second);
    fields.erase(field);
    return value;
  }
  return {};
}

// The id of a child call is the id of its parent request, a dot and a suffix.
bool IsRequestOrDescendant(absl::string_view id, absl::string_view request_id) {
  return id == request_id || absl::StartsWith(id, absl::StrCat(request_id, "."));
}

// Sort position of an event within one call: 0 for the dispatch, 1 for events at targets, 2 for the
// end.
int EventStage(const trace_step& step) {
  if (step.event == "sent") return 0;
  const bool ends =
      step.event == "answered" || step.event == "refused" || step.event == "caller_gone";
  return ends ? 2 : 1;
}

}  // namespace

absl::optional<trace_step> ParseTraceLine(absl::string_view log, absl::string_view line,
                                          absl::string_view request_id) {
  const size_t begin = line.find(kEventField);
  if (begin == absl::string_view::npos) return absl::nullopt;
  trace_step step;
  step.log = std::string(log);
  step.fields = SplitFields(line.substr(begin));
  step.event = ExtractField(step.fields, "event");
  step.request_id = ExtractField(step.fields, "request");
  if (!IsRequestOrDescendant(step.request_id, request_id)) return absl::nullopt;
  step.depth = static_cast<size_t>(
      std::count(step.request_id.begin() + static_cast<std::ptrdiff_t>(request_id.size()),
                 step.request_id.end(), '.'));
  const std::vector<absl::string_view> before =
      absl::StrSplit(line.substr(0, begin), ' ', absl::SkipEmpty());
  if (!before.empty()) step.time = std::string(before.back());
  return step;
}

std::vector<trace_step> OrderByCause(std::vector<trace_step> steps) {
  std::stable_sort(steps.begin(), steps.end(), [](const trace_step& a, const trace_step& b) {
    return std::make_tuple(absl::string_view(a.request_id), EventStage(a),
                           absl::string_view(a.time)) <
           std::make_tuple(absl::string_view(b.request_id), EventStage(b),
                           absl::string_view(b.time));
  });
  return steps;
}

std::string EncodeTrace(absl::Span<const trace_step> steps) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const trace_step& step : steps) {
    nlohmann::ordered_json entry = {{"request", step.request_id},
                                    {"depth", step.depth},
                                    {"event", step.event},
                                    {"time", step.time},
                                    {"log", step.log}};
    for (const auto& [name, value] : step.fields) entry[name] = value;
    list.push_back(std::move(entry));
  }
  return list.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace teaseljunction
