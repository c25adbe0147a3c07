#include "standin/standin_endpoints.h"

#include <cmath>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "standin/standin_json.h"

namespace teaseljunction {
namespace {

constexpr double kMaxSlowFactor = 1e6;

bool ParseNumber(absl::string_view text, double min, double max, absl::optional<double>& field) {
  double value = 0;
  if (!absl::SimpleAtod(text, &value) || !(value >= min && value <= max)) return false;
  field = value;
  return true;
}

bool ParseSetting(absl::string_view name, absl::string_view value,
                  standin_settings_change& change) {
  if (name == "slow") return ParseNumber(value, 0, kMaxSlowFactor, change.slow_factor);
  if (name == "fail") return ParseNumber(value, 0, 1, change.fail_ratio);
  bool shed = false;
  if (name != "shed" || !absl::SimpleAtob(value, &shed)) return false;
  change.shed = shed;
  return true;
}

standin_reply TextReply(int status, std::string body) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(body)};
}

}  // namespace

result<standin_settings_change> ParseSettingsChange(absl::string_view query) {
  standin_settings_change change;
  for (absl::string_view field : absl::StrSplit(query, '&', absl::SkipEmpty())) {
    const std::pair<absl::string_view, absl::string_view> parts =
        absl::StrSplit(field, absl::MaxSplits('=', 1));
    if (!ParseSetting(parts.first, parts.second, change)) {
      return Fail(error_kind::kMalformedRequest,
                  absl::StrCat(field, ": expected slow=FACTOR, fail=RATIO or shed=BOOL"));
    }
  }
  return change;
}

standin_reply AnswerStandinEndpoint(const standin_request& request, const std::string& service,
                                    uint64_t incarnation, service_runner& runner) {
  const std::pair<absl::string_view, absl::string_view> parts =
      absl::StrSplit(request.path, absl::MaxSplits('?', 1));
  if (request.method == "GET" && parts.first == "/standin/stats") {
    return {200,
            {{"Content-Type", "application/json"}},
            EncodeStats(service, incarnation, runner.Counters())};
  }
  if (request.method == "POST" && parts.first == "/standin/set") {
    const auto change =
        Capture<standin_settings_change>([&] { return ParseSettingsChange(parts.second); });
    if (change.index() == 1) return TextReply(400, std::get<1>(change).detail + "\n");
    runner.UpdateSettings(std::get<0>(change));
    return {204, {}, ""};
  }
  return TextReply(404, "expected GET /standin/stats or POST /standin/set\n");
}

}  // namespace teaseljunction
